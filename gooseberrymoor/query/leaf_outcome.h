#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/request_error.h"

namespace gooseberrymoor {

// The outcome of one leaf request as seen by the query that sent it. Value type.
struct leaf_outcome
{
    error_kind error = error_kind::none; // `cancelled` if the answer was no longer needed
    duration latency {}; // from sending the request to its end
    int queued = 0; // length of the owner's queue for the target when it answered
};

} // namespace gooseberrymoor
