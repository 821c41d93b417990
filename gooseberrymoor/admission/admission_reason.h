#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// The event that put a target into its current `admission_phase`.
enum class admission_reason {
    new_target, // its owner has no state for it yet
    new_instance, // the instance ID changed
    self_reported, // a reply or health report of the target said so
    connection_lost,
    unreachable, // a connection was refused or not established in time
    silence, // no answer within the silence timeout, or several consecutive timeouts
    slow_answers, // compared with its own baseline
    shed_answers,
    answers_in_time,
    limits_changed,
    returned, // it returned to service
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
