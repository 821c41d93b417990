#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// A target that registered itself, as its newest entry describes it. Value type.
struct replica
{
    std::string id; // of this start of the target, mostly
    std::int64_t incarnation = 0; // tells starts under one id apart
    std::string service;
    endpoint address;
    std::string availabilityZone;
    std::string version; // of its software
    unsigned slots = 1; // requests that it works on at one time
    bool draining = false; // leaves: gets nothing new
    duration coldRemaining { 0 }; // when the entry was written

    bool operator==(const replica &) const = default;
};

} // namespace gooseberrymoor
