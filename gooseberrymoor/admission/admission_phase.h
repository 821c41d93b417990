#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// How far a target is trusted with its slots.
enum class admission_phase {
    cold, // at most `target_limits::coldSlots`
    warming, // above that, and growing with each round of answers in time
    warm, // all its slots
    backing_off, // fewer after it shed; grows again with answers in time
    draining, // nothing new
};

constexpr name_table<admission_phase, 5> names(admission_phase)
{
    return { { { admission_phase::cold, "cold" },
               { admission_phase::warming, "warming" },
               { admission_phase::warm, "warm" },
               { admission_phase::backing_off, "backing_off" },
               { admission_phase::draining, "draining" } } };
}

} // namespace gooseberrymoor
