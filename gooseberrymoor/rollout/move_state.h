#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// The state of a planned move. Transitions:
//   planned -> moving, late or rolled_back
//   moving -> late, done or rolled_back
//   late -> done or rolled_back
enum class move_state {
    planned,
    moving,
    late, // like `moving`, but has missed or will miss its finish time
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

// Whether a move in `state` can no longer change.
constexpr bool isFinal(move_state state)
{
    return state == move_state::done || state == move_state::rolled_back;
}

} // namespace gooseberrymoor
