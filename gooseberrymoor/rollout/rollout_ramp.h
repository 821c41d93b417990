#pragma once

#include <array>
#include <chrono>

namespace gooseberrymoor {

// Shares of a new version in permille of the traffic, step by step. The step before the last
// leaves the old version enough traffic to compare with, and its targets warm for a rollback.
constexpr std::array rollout_shares_permille { 10, 30, 100, 250, 500, 750, 900, 1000 };

constexpr int rollout_step_count = static_cast<int>(rollout_shares_permille.size());

// The share after `step` steps out of `total` permille; 0 before the first.
constexpr int shareAfterStep(int step, int total)
{
    if (step <= 0)
        return 0;
    return rollout_shares_permille
               [static_cast<std::size_t>(step < rollout_step_count ? step : rollout_step_count) - 1]
        * total / 1000;
}

// How long a step may take so that `stepsLeft` of them end in `left` with a reserve.
// No longer than `longest`; negative or zero if the time is over.
std::chrono::milliseconds stepDuration(std::chrono::milliseconds left, int stepsLeft,
                                       std::chrono::milliseconds longest);

} // namespace gooseberrymoor
