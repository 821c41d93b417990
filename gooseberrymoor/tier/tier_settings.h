#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/fleet/fleet_member.h"
#include "gooseberrymoor/forward/repeat_budget.h"
#include "gooseberrymoor/replica/cold_target_limiter.h"

#include <string>

namespace gooseberrymoor {

// What one node of the query tier needs to know before it reads the store. Value type.
struct tier_settings
{
    fleet_member own;
    std::string fleetPrefix; // of the keys in the store that nodes keep of themselves
    repeat_limits repeats;
    cold_rate_tolerance coldTolerance;
    duration reregistrationTime {
        2500
    }; // until a key that lapsed in an outage of the store counts as gone
    duration stopTime { 5000 }; // from the order to stop to the end of the process
    duration directoryTtl { 5000 }; // how long callers may keep the addresses of nodes
};

} // namespace gooseberrymoor
