#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/fleet/fleet_member.h"
#include "gooseberrymoor/forward/repeat_budget.h"
#include "gooseberrymoor/replica/cold_target_limiter.h"

#include <string>

namespace gooseberrymoor {

// The settings that a node of the query tier needs before it has read the store. Value type.
struct tier_settings
{
    fleet_member own;
    std::string fleetPrefix; // of the keys under which nodes announce themselves in the store
    repeat_limits repeats;
    cold_rate_tolerance coldTolerance;
    // Time after an outage of the store in which owners of expired keys can write them again.
    duration reregistrationTime { 2500 };
    duration stopTime { 5000 }; // from the start of a stop to the end of the process
    duration directoryTtl { 5000 }; // how long callers may cache the addresses of nodes
};

} // namespace gooseberrymoor
