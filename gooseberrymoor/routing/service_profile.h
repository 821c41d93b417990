#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <string>

namespace gooseberrymoor {

// What operators say of the targets of one service. Value type.
struct service_profile
{
    std::string name;
    unsigned connectionLimit = 0; // of one target, over all nodes; 0: none stated
    duration coldStart { 0 }; // how long a target is cold after its start
    double coldRequestsPerSecond = 0; // what a cold target bears; 0: none stated
};

} // namespace gooseberrymoor
