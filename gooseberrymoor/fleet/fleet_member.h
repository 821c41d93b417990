#pragma once

#include "gooseberrymoor/base/endpoint.h"

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// A node's description of itself, as it publishes it to the fleet. Value type.
struct fleet_member
{
    std::string name;
    std::uint64_t incarnation = 0; // random, new at each start of the process
    std::string availabilityZone;
    endpoint callerAddress;
    endpoint peerAddress;
    bool leaving = false; // accepts no new callers
    double processorCores = 1; // of its VM, may be a fraction

    bool operator==(const fleet_member &) const = default;
};

} // namespace gooseberrymoor
