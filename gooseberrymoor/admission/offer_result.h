#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// The result of offering a leaf request to a `target_admission`.
enum class offer_result {
    queued,
    late, // its deadline has passed
    queue_full,
    wait_too_long, // it could not be answered by its deadline
    draining, // the target accepts no new requests
};

constexpr name_table<offer_result, 5> names(offer_result)
{
    return { { { offer_result::queued, "queued" },
               { offer_result::late, "late" },
               { offer_result::queue_full, "queue_full" },
               { offer_result::wait_too_long, "too_long_a_wait" },
               { offer_result::draining, "draining" } } };
}

} // namespace gooseberrymoor
