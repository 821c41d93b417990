#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/request_error.h"

namespace gooseberrymoor {

// How one leaf request ended, as its query saw it. Value type.
struct leaf_outcome
{
    error_kind error = error_kind::none; // `cancelled` if its answer was no longer wanted
    duration latency {}; // since it was sent
    int queued = 0; // requests that waited at the owner when it answered
};

} // namespace gooseberrymoor
