#pragma once

#include "gooseberrymoor/store/store_change.h"

#include <cstdint>
#include <vector>

namespace gooseberrymoor {

// The changes that a `store_mirror` has applied at once, as its node reports them to its peers. A
// copy at `fromRevision` or later that applies them lacks nothing. Value type.
struct applied_changes
{
    std::int64_t fromRevision = 0;
    std::vector<store_change> changes; // after `fromRevision`, only the significant ones
    // The copy has started a new era, and `changes` are all keys that the store has.
    bool isSnapshot = false;
};

} // namespace gooseberrymoor
