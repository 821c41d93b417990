#pragma once

#include "gooseberrymoor/base/name_table.h"
#include "gooseberrymoor/base/verdict.h"

#include <string>

namespace gooseberrymoor {

// How a call to the store failed.
enum class store_failure {
    unavailable,
    timed_out,
    malformed,
    history_lost, // what changed since the revision asked for is no longer known
    lease_ended,
};

constexpr name_table<store_failure, 5> names(store_failure)
{
    return { { { store_failure::unavailable, "unavailable" },
               { store_failure::timed_out, "timed_out" },
               { store_failure::malformed, "malformed" },
               { store_failure::history_lost, "history_lost" },
               { store_failure::lease_ended, "lease_ended" } } };
}

// A failed call; `outcome` says whether its effect may have taken place.
struct store_error
{
    store_failure failure = store_failure::unavailable;
    verdict outcome = verdict::not_run;
    std::string detail;
};

} // namespace gooseberrymoor
