#pragma once

#include "gooseberrymoor/rollout/move_state.h"
#include "gooseberrymoor/rollout/planned_move.h"
#include "gooseberrymoor/rollout/rollback_cause.h"

#include <cstdint>

namespace gooseberrymoor {

// A planned move and its progress, as stored in the key-value store. Value type.
struct move_record
{
    planned_move plan;
    move_state state = move_state::planned;
    int step = 0; // steps of the ramp taken so far
    int sharePermille = 0; // current share of the new version
    int totalPermille = 0; // share of both versions together
    wall_time began {}; // when the first step was decided; planned for `plan.begin`
    wall_time stepBegan {}; // when the current step was decided
    rollback_cause cause;
    std::int64_t revision = 0; // of the key in the store; not part of the JSON text

    bool operator==(const move_record &) const = default;
};

} // namespace gooseberrymoor
