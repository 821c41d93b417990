#include "gooseberrymoor/rollout/rollout_ramp.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int scheduled_percent = 80; // of the time left; the rest is a reserve
constexpr int all_percent = 100;

} // namespace

std::chrono::milliseconds stepDuration(std::chrono::milliseconds left, int stepsLeft,
                                       std::chrono::milliseconds longest)
{
    return std::min(longest, left * scheduled_percent / all_percent / std::max(1, stepsLeft));
}

} // namespace gooseberrymoor
