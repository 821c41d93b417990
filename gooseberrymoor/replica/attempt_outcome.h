#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// How one request at a target ended.
enum class attempt_outcome {
    answered, // with a success
    failed, // with a failure of the target's own: it ran
    refused, // the target says that it did not run
    misdirected, // the address belongs to another target by now
    unreachable, // no connection came about: it did not run
    lost, // the connection broke or the bytes were no answer: it may have run
    timed_out, // no answer in time: it may have run
    abandoned, // nobody wants the answer any more: it may have run
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

// Whether a request that ended so has surely not run.
constexpr bool hasNotRun(attempt_outcome ending)
{
    return ending == attempt_outcome::refused || ending == attempt_outcome::misdirected
        || ending == attempt_outcome::unreachable;
}

} // namespace gooseberrymoor
