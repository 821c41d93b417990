#pragma once

#include <optional>
#include <string>

namespace gooseberrymoor {

// What a target says of itself in a reply or a health report. Value type.
struct target_status
{
    std::string instance; // identity of the back-end process; empty if it said none
    std::optional<bool> cold; // nothing if it said nothing
    bool draining = false;
};

} // namespace gooseberrymoor
