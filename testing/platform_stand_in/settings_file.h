#pragma once

#include <string>

namespace gooseberrymoor {

namespace platform {
struct platform_settings;
} // namespace platform

// Formats a node's settings as the platform's TOML file. `graceSeconds` is the time that the
// process has from SIGTERM until it must have exited.
std::string formatSettingsFile(const platform::platform_settings &settings, int graceSeconds);

} // namespace gooseberrymoor
