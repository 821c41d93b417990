#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// What operators let one target of a service be given, as a sum over the whole site. Value type.
struct target_limits
{
    int slots = 1; // requests at one time, when warm
    int connections = 2; // open connections
    int coldSlots = 1; // requests at one time in a cold start
    duration warmup { 5000 }; // from cold to warm under answers in time

    bool operator==(const target_limits &) const = default;
};

} // namespace gooseberrymoor
