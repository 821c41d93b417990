#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

struct route;

// Times of one caller's request, from the route and what its answers take.

// When a sharded answer has to leave so that it reaches the caller within the target latency.
time_point answerTime(const route &route, time_point arrived, bool firstOnConnection);

// How long a target is waited for until a second one is asked, if the route's answers mostly
// take `usual` (zero: not known). Never later than leaves a second target its time.
duration hedgeDelay(const route &route, duration usual);

// When a caller that was refused, with `left` of its time, may come back: soon if targets were
// full, later if none was known, as just after a restart, and always within its time.
duration retryAfter(duration left, bool knewTargets);

} // namespace gooseberrymoor
