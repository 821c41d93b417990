#pragma once

#include <string>

namespace gooseberrymoor {

// Returns the text of docs/SETTINGS.md, which lists every setting with its default, range and unit.
std::string settingsPage();

} // namespace gooseberrymoor
