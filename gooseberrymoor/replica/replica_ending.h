#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// How one request at a target ended.
enum class replica_ending {
    answered, // with a success
    failed, // with a failure of the target's own: it ran
    refused, // the target says that it did not run
    misdirected, // the address belongs to another target by now
    unreachable, // no connection came about: it did not run
    lost, // the connection broke or the bytes were no answer: it may have run
    timed_out, // no answer in time: it may have run
    abandoned, // nobody wants the answer any more: it may have run
};

constexpr name_table<replica_ending, 8> names(replica_ending)
{
    return { { { replica_ending::answered, "answered" },
               { replica_ending::failed, "failed" },
               { replica_ending::refused, "refused" },
               { replica_ending::misdirected, "misdirected" },
               { replica_ending::unreachable, "unreachable" },
               { replica_ending::lost, "lost" },
               { replica_ending::timed_out, "timed_out" },
               { replica_ending::abandoned, "abandoned" } } };
}

// Whether a request that ended so has surely not run.
constexpr bool hasNotRun(replica_ending ending)
{
    return ending == replica_ending::refused || ending == replica_ending::misdirected
        || ending == replica_ending::unreachable;
}

} // namespace gooseberrymoor
