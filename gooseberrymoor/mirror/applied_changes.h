#pragma once

#include "gooseberrymoor/store/store_change.h"

#include <cstdint>
#include <vector>

namespace gooseberrymoor {

// The changes that a `store_mirror` has applied at once. Value type.
struct applied_changes
{
    std::int64_t fromRevision = 0; // of the copy before; it lacks no change up to this revision
    std::vector<store_change> changes; // after `fromRevision`, only the significant ones
};

} // namespace gooseberrymoor
