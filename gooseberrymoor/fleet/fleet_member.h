#pragma once

#include "gooseberrymoor/base/endpoint.h"

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// One node of the fleet, as it says of itself. Value type.
struct fleet_member
{
    std::string name;
    std::uint64_t incarnation = 0; // drawn anew at each start of the process
    std::string availabilityZone;
    endpoint callerAddress;
    endpoint peerAddress;
    bool leaving = false; // takes no new callers

    bool operator==(const fleet_member &) const = default;
};

} // namespace gooseberrymoor
