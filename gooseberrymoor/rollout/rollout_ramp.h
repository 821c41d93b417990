#pragma once

#include <array>
#include <chrono>

namespace gooseberrymoor {

// Share of the new version after each step, in permille of the traffic. Before the last step, the
// old version keeps enough traffic for the comparison and to keep its targets warm for a rollback.
constexpr std::array rollout_shares_permille { 10, 30, 100, 250, 500, 750, 900, 1000 };

constexpr int rollout_step_count = static_cast<int>(rollout_shares_permille.size());

// The share after `step` steps, in permille, if both versions together have `totalPermille`. 0
// before the first step.
constexpr int shareAfterStep(int step, int totalPermille)
{
    if (step <= 0)
        return 0;
    return rollout_shares_permille
               [static_cast<std::size_t>(step < rollout_step_count ? step : rollout_step_count) - 1]
        * totalPermille / 1000;
}

// Duration of each step so that `stepsLeft` steps fit into `timeLeft` with a reserve, at most
// `maxDuration`. Zero or negative if no time is left.
std::chrono::milliseconds stepDuration(std::chrono::milliseconds timeLeft, int stepsLeft,
                                       std::chrono::milliseconds maxDuration);

} // namespace gooseberrymoor
