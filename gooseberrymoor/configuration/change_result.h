#pragma once

#include "gooseberrymoor/base/name_table.h"

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// Outcome of an operator's change.
enum class change_state {
    accepted,
    conflict, // another change was committed first; this one is never applied
    not_accepted, // definitely not applied, now or later
    unknown, // the reply was lost, and the store could not be queried before the deadline
};

constexpr name_table<change_state, 4> names(change_state)
{
    return { { { change_state::accepted, "accepted" },
               { change_state::conflict, "conflict" },
               { change_state::not_accepted, "not_accepted" },
               { change_state::unknown, "unknown" } } };
}

// Result of a change. `revision` is that of the accepted change or, in a conflict, that of the
// change committed first. Value type.
struct change_result
{
    change_state state = change_state::unknown;
    std::int64_t revision = 0;
    std::string detail; // human-readable
};

} // namespace gooseberrymoor
