#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// How a value of a key relates to a known one by their contents alone, where revisions can't tell.
enum class value_order {
    older, // its writer wrote it before the known one
    unknown,
    not_older, // the same, or its writer wrote it later
    later_start, // of a later start of its writer
};

constexpr name_table<value_order, 4> names(value_order)
{
    return { { { value_order::older, "older" },
               { value_order::unknown, "unknown" },
               { value_order::not_older, "not_older" },
               { value_order::later_start, "later_start" } } };
}

} // namespace gooseberrymoor
