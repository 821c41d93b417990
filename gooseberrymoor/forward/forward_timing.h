#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

struct route;

// Deadlines and delays for one caller's request.

// Time at which the response to a sharded request must be sent to reach the caller within the
// route's target latency.
time_point softDeadlineFor(const route &route, time_point arrived, bool firstOnConnection);

// Time to wait for a target before sending a hedge to a second one. `typicalLatency` is a high
// quantile of the route's recent latencies, or zero if it is unknown. The result is bounded so that
// the second target still has time to respond.
duration hedgeDelay(const route &route, duration typicalLatency);

// Latest time at which a request may be sent to a target so that its response arrives before the
// process ends at `end`. `typicalLatency` is a high quantile of the recent latencies, or zero if it
// is unknown; `maxTime` is the time until the request's deadline.
time_point latestSendTime(duration targetLatency, duration typicalLatency, duration maxTime,
                          time_point end);

// Suggested delay before a refused caller retries: short if the targets were full, longer if no
// target was known, as just after a restart. Never more than a fraction of `remaining`, the time
// until the caller's deadline. If no target accepts requests before `untilAvailable` has passed,
// that time, unless it leaves the caller no time for a retry.
duration retryAfter(duration remaining, bool hadTargets, duration untilAvailable = duration(0));

} // namespace gooseberrymoor
