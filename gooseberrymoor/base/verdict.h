#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// Whether a request may have run at a target.
// `not_run`: no byte of it has reached one. `may_have_run`: it may or may not have.
// `completed`: a target answered it.
enum class verdict {
    not_run,
    may_have_run,
    completed,
};

constexpr name_table<verdict, 3> names(verdict)
{
    return { { { verdict::not_run, "not_run" },
               { verdict::may_have_run, "may_have_run" },
               { verdict::completed, "completed" } } };
}

} // namespace gooseberrymoor
