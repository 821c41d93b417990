#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// How far a planned move has come. A move goes through these in this order and never back;
// `done` and `rolled_back` are final.
enum class move_state {
    planned,
    moving,
    late, // still moving, but cannot be done or was not done by its time
    done,
    rolled_back,
};

constexpr name_table<move_state, 5> names(move_state)
{
    return { { { move_state::planned, "planned" },
               { move_state::moving, "moving" },
               { move_state::late, "late" },
               { move_state::done, "done" },
               { move_state::rolled_back, "rolled_back" } } };
}

// Whether nothing more happens to a move in `state`.
constexpr bool isFinal(move_state state)
{
    return state == move_state::done || state == move_state::rolled_back;
}

} // namespace gooseberrymoor
