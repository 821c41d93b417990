#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// Operators' limits on the load of one target of a service, summed over the site. Value type.
struct target_limits
{
    int slots = 1; // concurrent requests of a warm target
    int connections = 2; // open connections
    int coldSlots = 1; // concurrent requests during a cold start
    duration warmup { 5000 }; // from cold to warm while replies are on time

    bool operator==(const target_limits &) const = default;
};

} // namespace gooseberrymoor
