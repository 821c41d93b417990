#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// Outcome of one request sent to a target.
enum class attempt_outcome {
    answered, // successful response
    failed, // error response from the target: the request was executed
    refused, // the target reported that it did not execute the request
    misdirected, // the address now belongs to another target: not executed
    unreachable, // no connection could be established: not executed
    lost, // connection lost or invalid response: may have been executed
    timed_out, // no response before the deadline: may have been executed
    abandoned, // the response is no longer needed: may have been executed
};

constexpr name_table<attempt_outcome, 8> names(attempt_outcome)
{
    return { { { attempt_outcome::answered, "answered" },
               { attempt_outcome::failed, "failed" },
               { attempt_outcome::refused, "refused" },
               { attempt_outcome::misdirected, "misdirected" },
               { attempt_outcome::unreachable, "unreachable" },
               { attempt_outcome::lost, "lost" },
               { attempt_outcome::timed_out, "timed_out" },
               { attempt_outcome::abandoned, "abandoned" } } };
}

// Whether `outcome` guarantees that the target did not execute the request.
constexpr bool hasNotRun(attempt_outcome outcome)
{
    return outcome == attempt_outcome::refused || outcome == attempt_outcome::misdirected
        || outcome == attempt_outcome::unreachable;
}

} // namespace gooseberrymoor
