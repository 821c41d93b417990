#pragma once

#include <string>

namespace gooseberrymoor {

// The page docs/SETTINGS.md: every setting with its unit, default and range.
std::string settingsPage();

} // namespace gooseberrymoor
