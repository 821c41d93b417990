#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// Whether a target executed a request.
// `not_run`: no target has received any byte of it, or the target refused all of it.
// `may_have_run`: unknown. `completed`: a target answered it.
// The order matters: the verdict on several attempts is the greatest of their verdicts.
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
