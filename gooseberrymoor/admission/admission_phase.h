#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// How much of its slots a target may use.
enum class admission_phase {
    cold, // at most `target_limits::coldSlots`
    warming, // above the cold slots, and increasing after answers in time
    warm, // all slots
    backing_off, // reduced after a shed request; increases after answers in time
    draining, // no new requests
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
