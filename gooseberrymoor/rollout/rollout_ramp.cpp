#include "gooseberrymoor/rollout/rollout_ramp.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int scheduled_percent = 80; // of the time left; the rest is a reserve
constexpr int hundred_percent = 100;

} // namespace

std::chrono::milliseconds stepDuration(std::chrono::milliseconds timeLeft, int stepsLeft,
                                       std::chrono::milliseconds maxDuration)
{
    return std::min(maxDuration,
                    timeLeft * scheduled_percent / hundred_percent / std::max(1, stepsLeft));
}

} // namespace gooseberrymoor
