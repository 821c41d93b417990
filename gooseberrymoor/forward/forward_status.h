#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// Final status of a caller's request.
enum class forward_status {
    passed_through, // one target's own reply, a success or an error
    merged, // merged parts of several shards
    refused, // not executed by any target, and will not be
    failed, // may have been executed; no response is available
    timed_out, // may have been executed; the deadline has passed
    abandoned, // the caller disconnected
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
