#pragma once

#include "gooseberrymoor/rollout/comparison_request.h"
#include "gooseberrymoor/rollout/move_step.h"
#include "gooseberrymoor/rollout/move_timing.h"
#include "gooseberrymoor/rollout/version_comparison.h"

#include <optional>
#include <vector>

namespace gooseberrymoor {

struct configuration;

// The comparison that `decideMove` needs for a move of versions.
comparison_request comparisonFor(const move_record &record, const configuration &current,
                                 const move_timing &timing);

// Whether the planned move `record` must wait for another of `all`, read at the same time, that
// changes the same: one that is under way, or an earlier one that has not begun.
bool mustWait(const move_record &record, const std::vector<move_record> &all);

// What is to be done for a move now, or nothing. A pure function of its arguments: any node with
// the same view of them comes to the same step. The step may be written only if neither the move
// (`record.revision`) nor, if it changes it, the configuration (`current.revision`) has changed.
// `evidence` is used for moves of versions only.
std::optional<move_step> decideMove(const move_record &record, const configuration &current,
                                    const version_comparison &evidence, const move_timing &timing,
                                    wall_time now);

} // namespace gooseberrymoor
