#pragma once

#include "gooseberrymoor/rollout/move_state.h"
#include "gooseberrymoor/rollout/planned_move.h"
#include "gooseberrymoor/rollout/rollback_cause.h"

#include <cstdint>

namespace gooseberrymoor {

// A planned move and how far it has come, as it lies in the store. Value type.
struct move_record
{
    planned_move plan;
    move_state state = move_state::planned;
    int step = 0; // steps of the ramp that were taken
    int sharePermille = 0; // of the new version now
    int totalPermille = 0; // that both versions share
    wall_time began {}; // when the first step was written
    wall_time stepBegan {}; // when the last step was written
    rollback_cause cause;
    std::int64_t revision = 0; // the key's in the store; not part of the text

    bool operator==(const move_record &) const = default;
};

} // namespace gooseberrymoor
