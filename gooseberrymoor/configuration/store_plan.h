#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// What a node's one task towards the store does next.
enum class store_duty {
    wait,
    read,
    watch,
};

constexpr name_table<store_duty, 3> names(store_duty)
{
    return { { { store_duty::wait, "wait" },
               { store_duty::read, "read" },
               { store_duty::watch, "watch" } } };
}

// The next duty; `until` ends a wait or a watch. Value type.
struct store_plan
{
    store_duty duty = store_duty::wait;
    time_point until;
};

} // namespace gooseberrymoor
