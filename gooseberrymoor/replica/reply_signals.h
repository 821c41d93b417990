#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <optional>

namespace gooseberrymoor {

// What a target asked for in one reply, besides answering the request. Value type.
struct reply_signals
{
    bool isLeaving = false; // it shuts down soon and wants no more requests
    std::optional<duration> retryAfter; // it refused the request and wants none for this long
    bool isRetryAfterInvalid = false; // the reply had a retry delay that makes no sense
};

} // namespace gooseberrymoor
