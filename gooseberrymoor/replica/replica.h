#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// A registered target, as described by its most recent registry entry. Value type.
struct replica
{
    std::string id; // usually new for each start of the target
    std::int64_t incarnation = 0; // distinguishes starts that reuse an id
    std::string service;
    endpoint address;
    std::string availabilityZone;
    std::string version; // software version
    unsigned slots = 1; // requests processed concurrently
    bool draining = false; // shutting down; receives no new requests
    duration coldRemaining { 0 }; // remaining cold time when the entry was written

    bool operator==(const replica &) const = default;
};

} // namespace gooseberrymoor
