#pragma once

#include "gooseberrymoor/rollout/comparison_request.h"
#include "gooseberrymoor/rollout/move_step.h"
#include "gooseberrymoor/rollout/move_timing.h"
#include "gooseberrymoor/rollout/version_comparison.h"

#include <optional>
#include <vector>

namespace gooseberrymoor {

struct configuration;

// The comparison whose result `decideMove` needs for a version move.
comparison_request comparisonFor(const move_record &record, const configuration &current,
                                 const move_timing &timing);

// Whether the planned move `record` must wait for another move in `all` that affects the same
// resource: one that is in progress, or an earlier one that has not started. `all` must be read
// together with `record`.
bool mustWait(const move_record &record, const std::vector<move_record> &all);

// The step that a move must take now, if any. A pure function: all nodes with the same arguments
// decide the same step. The step may be written only if the move still has revision
// `record.revision` and, if the step changes the configuration, the configuration still has
// revision `current.revision`. `comparison` is used for version moves only.
std::optional<move_step> decideMove(const move_record &record, const configuration &current,
                                    const version_comparison &comparison, const move_timing &timing,
                                    wall_time now);

} // namespace gooseberrymoor
