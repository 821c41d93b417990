#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// What became of a leaf request that was admitted to a target.
enum class leaf_result {
    answered,
    failed, // answered with an error; it runs no more
    cancelled, // the target says that it runs no more
    shed, // refused by the target before it ran
    drained, // refused by the target because it takes no new work
    unsent, // no byte of it left
    lost, // its connection ended; it may still run
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
