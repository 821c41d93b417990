#pragma once

#include <chrono>
#include <cstdint>

namespace gooseberrymoor {

// How fast moves may go. Value type.
struct move_timing
{
    // No step of a ramp is shorter, and it sees so many requests of the new version.
    std::chrono::milliseconds shortestStep { 20'000 };
    std::uint64_t requestsPerStep = 300;
    // A service with few requests: after so long, fewer are enough.
    std::chrono::milliseconds patientStep { 600'000 };
    std::uint64_t fewRequestsPerStep = 50;
    // No step is longer if its requests have been seen, however late the finish time is.
    std::chrono::milliseconds longestStep { 900'000 };
    // A change is in force at all nodes after this, and what ran before it has ended.
    std::chrono::milliseconds inForce { 13'000 };
    std::chrono::milliseconds longestRequest { 30'000 };
    // Highest probability that a good version is rolled back.
    double falseAlarms = 1e-3;
};

} // namespace gooseberrymoor
