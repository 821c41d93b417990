#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// What a repeat is worth to its request.
enum class repeat_urgency {
    optional, // the answer is good enough without, and better with it
    needed, // without, there is no answer
};

constexpr name_table<repeat_urgency, 2> names(repeat_urgency)
{
    return { { { repeat_urgency::optional, "optional" }, { repeat_urgency::needed, "needed" } } };
}

} // namespace gooseberrymoor
