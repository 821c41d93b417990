#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// Action of the node's single task that calls the store.
enum class store_action {
    wait,
    read,
    watch,
};

constexpr name_table<store_action, 3> names(store_action)
{
    return { { { store_action::wait, "wait" },
               { store_action::read, "read" },
               { store_action::watch, "watch" } } };
}

// The next action; `until` ends a wait or a watch. Value type.
struct planned_store_action
{
    store_action action = store_action::wait;
    time_point until;
};

} // namespace gooseberrymoor
