#pragma once

#include "gooseberrymoor/rollout/planned_move.h"
#include "gooseberrymoor/rollout/sheet_error.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace gooseberrymoor {

struct configuration;
struct move_record;

// One checked row of a sheet. Value type.
struct sheet_row
{
    std::size_t row = 0; // line of the file, from 1
    planned_move move;
};

// Reads the planners' sheet, or says all that is wrong with it; what the rows name is not looked
// up.
tl::expected<std::vector<sheet_row>, std::vector<sheet_error>> parseSheet(std::string_view text);

// What forbids to apply `rows`: rows that contradict each other, the configuration `current`, or
// the moves `known` from earlier sheets. Rows that are already known are not held against
// themselves, so that a sheet can be applied again at any time. Empty if all may be applied.
std::vector<sheet_error> checkSheet(const std::vector<sheet_row> &rows,
                                    const configuration &current,
                                    const std::vector<move_record> &known, wall_time now);

} // namespace gooseberrymoor
