#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// Most time that a request is on its way to a target. A target counts a request's timeout from its
// arrival, so its deadline may lie later than the sender's by this much.
constexpr duration max_transit_time { 1000 };

} // namespace gooseberrymoor
