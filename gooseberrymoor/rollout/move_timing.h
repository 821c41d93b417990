#pragma once

#include <chrono>
#include <cstdint>

namespace gooseberrymoor {

// Durations and limits of moves. Value type.
struct move_timing
{
    // Minimum duration of a step, and minimum number of requests of the new version in it.
    std::chrono::milliseconds minStepDuration { 20'000 };
    std::uint64_t minRequestsPerStep = 300;
    // For services with little traffic: after this time, fewer requests are sufficient.
    std::chrono::milliseconds lowTrafficStepDuration { 600'000 };
    std::uint64_t lowTrafficRequestsPerStep = 50;
    // Maximum duration of a step that has had enough requests, however far away the finish time is.
    std::chrono::milliseconds maxStepDuration { 900'000 };
    // Time until a configuration change is in force at all nodes.
    std::chrono::milliseconds configurationDelay { 13'000 };
    std::chrono::milliseconds longestRequest { 30'000 };
    // Upper bound of the probability that a good version is rolled back.
    double falseAlarmProbability = 1e-3;
};

} // namespace gooseberrymoor
