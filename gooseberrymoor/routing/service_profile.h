#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <string>

namespace gooseberrymoor {

// The operators' description of the targets of one service. Value type.
struct service_profile
{
    std::string name;
    unsigned connectionLimit = 0; // per target, over all nodes; 0: not specified
    duration coldStart { 0 }; // how long a target is cold after its start
    double coldRequestsPerSecond = 0; // maximum for a cold target; 0: not specified
};

} // namespace gooseberrymoor
