#pragma once

#include "gooseberrymoor/base/endpoint.h"

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// One node of a cell as the cell's view lists it. Value type.
struct member
{
    std::string name;
    std::uint64_t incarnation = 0; // drawn anew at each start of the process
    std::string availabilityZone;
    endpoint peerAddress;
    endpoint entryAddress;
    bool leaving = false; // owns nothing more, and takes no new callers

    bool operator==(const member &) const = default;
};

} // namespace gooseberrymoor
