#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// How a caller's request ended.
enum class forward_status {
    passed_through, // with a target's own reply, be it a success or a failure
    merged, // with the parts of several shards
    refused, // surely not run, and never will be
    failed, // may have run, and there is no answer
    timed_out, // may have run, and the time is over
    abandoned, // the caller left
};

constexpr name_table<forward_status, 6> names(forward_status)
{
    return { { { forward_status::passed_through, "passed_through" },
               { forward_status::merged, "merged" },
               { forward_status::refused, "refused" },
               { forward_status::failed, "failed" },
               { forward_status::timed_out, "timed_out" },
               { forward_status::abandoned, "abandoned" } } };
}

} // namespace gooseberrymoor
