#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/membership/member_id.h"

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// A node of a cell, as listed in the cell's view. Value type.
struct member
{
    std::string name;
    std::uint64_t incarnation = 0; // random; new at each process start and after each removal
    std::string availabilityZone;
    endpoint peerAddress;
    endpoint entryAddress;
    // The member owns no targets and accepts no new callers. Set when it joins, when it shuts down
    // and while its availability zone is out of service.
    bool leaving = false;

    // Returns the identity of this incarnation.
    member_id id() const { return { name, incarnation }; }

    bool operator==(const member &) const = default;
};

} // namespace gooseberrymoor
