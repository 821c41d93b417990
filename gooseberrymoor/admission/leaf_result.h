#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// The result of a leaf request that was admitted to a target.
enum class leaf_result {
    answered,
    failed, // answered with an error; it has stopped
    cancelled, // the target confirmed that it stopped
    shed, // rejected by the target before it ran
    drained, // rejected by the target because it is draining
    unsent, // no byte of it was sent
    lost, // its connection was lost; it may still run
    timed_out, // no answer by its deadline; it may still run
};

constexpr name_table<leaf_result, 8> names(leaf_result)
{
    return { { { leaf_result::answered, "answered" },
               { leaf_result::failed, "failed" },
               { leaf_result::cancelled, "cancelled" },
               { leaf_result::shed, "shed" },
               { leaf_result::drained, "drained" },
               { leaf_result::unsent, "unsent" },
               { leaf_result::lost, "lost" },
               { leaf_result::timed_out, "timed_out" } } };
}

} // namespace gooseberrymoor
