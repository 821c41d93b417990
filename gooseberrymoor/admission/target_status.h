#pragma once

#include <optional>
#include <string>

namespace gooseberrymoor {

// The status that a target reports in a reply or a health report. Value type.
struct target_status
{
    std::string instance; // ID of the target's process; empty if not reported
    std::optional<bool> cold; // empty if not reported
    bool draining = false;
};

} // namespace gooseberrymoor
