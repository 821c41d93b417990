#pragma once

#include "gooseberrymoor/rollout/wall_time.h"

#include <string>

namespace gooseberrymoor {

// Which versions are to be compared, and how sure the comparison must be. Value type.
struct comparison_request
{
    std::string service;
    std::string oldVersion;
    std::string newVersion;
    wall_time countFrom {}; // requests are counted from here
    wall_time latencyFrom {}; // latencies are compared from here, after the cold start
    std::chrono::milliseconds planned {}; // length of the whole move
    double falseAlarmProbability = 1e-3; // highest probability of a false alarm in all that time
};

} // namespace gooseberrymoor
