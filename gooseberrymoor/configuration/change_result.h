#pragma once

#include "gooseberrymoor/base/name_table.h"

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// What became of an operator's change.
enum class change_state {
    accepted,
    conflict, // another operator's change came first; this one surely never takes effect
    not_accepted, // surely not taken, and never will be
    unknown, // the store did not say, and could not be asked in time
};

constexpr name_table<change_state, 4> names(change_state)
{
    return { { { change_state::accepted, "accepted" },
               { change_state::conflict, "conflict" },
               { change_state::not_accepted, "not_accepted" },
               { change_state::unknown, "unknown" } } };
}

// The outcome of a change; `revision` is the accepted one, or the one that came first. Value type.
struct change_result
{
    change_state state = change_state::unknown;
    std::int64_t revision = 0;
    std::string detail; // for people
};

} // namespace gooseberrymoor
