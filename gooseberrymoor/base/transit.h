#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// Upper bound for the time a request takes to reach a target. A target counts a request's timeout
// from its arrival, so the target's deadline may be later than the sender's by up to this time.
constexpr duration max_transit_time { 1000 };

} // namespace gooseberrymoor
