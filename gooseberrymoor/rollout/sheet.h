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

// One valid row of a sheet. Value type.
struct sheet_row
{
    std::size_t row = 0; // first line of the row in the file, from 1
    planned_move move;
};

// Parses the planners' sheet. Returns all syntax errors; does not check that the services, versions
// and availability zones exist.
tl::expected<std::vector<sheet_row>, std::vector<sheet_error>> parseSheet(std::string_view text);

// Checks whether `rows` can be applied. Returns conflicts between rows, with the configuration
// `current` and with the moves `known` from earlier sheets; empty if there are none. Skips the
// checks against the configuration, `known` and `now` for rows that are already in `known`, so that
// a sheet can be applied repeatedly.
std::vector<sheet_error> checkSheet(const std::vector<sheet_row> &rows,
                                    const configuration &current,
                                    const std::vector<move_record> &known, wall_time now);

} // namespace gooseberrymoor
