#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/membership/member_id.h"

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
    // Owns nothing and takes no new callers: it has just joined, it stops, or its availability
    // zone is out.
    bool leaving = false;

    // This start of the node.
    member_id id() const { return { name, incarnation }; }

    bool operator==(const member &) const = default;
};

} // namespace gooseberrymoor
