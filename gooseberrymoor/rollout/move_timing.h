#pragma once

#include <chrono>
#include <cstdint>

namespace gooseberrymoor {

// How fast moves may go. Value type.
struct move_timing
{
    // No step of a ramp is shorter, and it sees so many requests of the new version.
    std::chrono::milliseconds minStepDuration { 20'000 };
    std::uint64_t requestsPerStep = 300;
    // A service with few requests: after so long, fewer are enough.
    std::chrono::milliseconds lowTrafficStepDuration { 600'000 };
    std::uint64_t lowTrafficRequestsPerStep = 50;
    // No step is longer if its requests have been seen, however late the finish time is.
    std::chrono::milliseconds maxStepDuration { 900'000 };
    // A change is in force at all nodes after this, and what ran before it has ended.
    std::chrono::milliseconds inForce { 13'000 };
    std::chrono::milliseconds longestRequest { 30'000 };
    // Highest probability that a good version is rolled back.
    double falseAlarmProbability = 1e-3;
};

} // namespace gooseberrymoor
