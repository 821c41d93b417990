#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// The exit codes of the command `gooseberrymoor`.
enum class exit_code : int {
    done = 0,
    failed = 1,
    bad_input = 2,
    conflict = 3,
    unknown = 4,
};

constexpr name_table<exit_code, 5> names(exit_code)
{
    return { { { exit_code::done, "done" },
               { exit_code::failed, "failed" },
               { exit_code::bad_input, "bad_input" },
               { exit_code::conflict, "conflict" },
               { exit_code::unknown, "unknown" } } };
}

} // namespace gooseberrymoor
