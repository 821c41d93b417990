#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// How the era of an answer relates to the newest era that a node knows of.
enum class era_order {
    older, // must not be believed
    current,
    newer, // what was read before must be read again
};

constexpr name_table<era_order, 3> names(era_order)
{
    return { { { era_order::older, "older" },
               { era_order::current, "current" },
               { era_order::newer, "newer" } } };
}

} // namespace gooseberrymoor
