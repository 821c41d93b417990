#pragma once

#include <string>

namespace gooseberrymoor {

namespace platform {
struct platform_settings;
} // namespace platform

// A node's settings file as the platform writes it, TOML, for a process that gets `graceSeconds`
// from SIGTERM to its end.
std::string formatSettingsFile(const platform::platform_settings &settings, int graceSeconds);

} // namespace gooseberrymoor
