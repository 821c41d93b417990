#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// The event that brought a target into its present `admission_phase`.
enum class admission_reason {
    new_target, // its owner knows nothing of it
    new_instance, // another process answered than before
    self_reported, // its reply or health report said so
    connection_lost,
    unreachable, // a connection was refused or not made in time
    silence, // no answer for long, or several timeouts in a row
    slow_answers, // against its own earlier service time
    shed_answers,
    answers_in_time,
    limits_changed,
    returned, // it is in service again
};

constexpr name_table<admission_reason, 11> names(admission_reason)
{
    return { { { admission_reason::new_target, "new_target" },
               { admission_reason::new_instance, "new_instance" },
               { admission_reason::self_reported, "own_word" },
               { admission_reason::connection_lost, "connection_lost" },
               { admission_reason::unreachable, "unreachable" },
               { admission_reason::silence, "silence" },
               { admission_reason::slow_answers, "slow_answers" },
               { admission_reason::shed_answers, "shed_answers" },
               { admission_reason::answers_in_time, "answers_in_time" },
               { admission_reason::limits_changed, "limits_changed" },
               { admission_reason::returned, "returned" } } };
}

} // namespace gooseberrymoor
