#pragma once

#include "gooseberrymoor/rollout/wall_time.h"

#include <string>

namespace gooseberrymoor {

// Which two versions of a service to compare, over which time, and with which false alarm
// probability. Value type.
struct comparison_request
{
    std::string service;
    std::string oldVersion;
    std::string newVersion;
    wall_time countFrom {}; // `version_comparison::requests` counts from here
    wall_time latencyFrom {}; // latencies count from here, after the cold start
    std::chrono::milliseconds plannedDuration {}; // of the whole move
    double falseAlarmProbability = 1e-3; // upper bound over `plannedDuration`
};

} // namespace gooseberrymoor
