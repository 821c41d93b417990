#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/store/store_change.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

// What one node read of the keys below `prefix` between two revisions of the store, for its peers.
// Value type.
struct mirror_update
{
    std::string prefix;
    std::int64_t fromRevision = 0;
    std::int64_t toRevision = 0;
    duration storeHealthyFor { 0 }; // since the store last failed the reader
    std::vector<store_change> changes; // that matter to readers of the copy
    bool passedOn = false; // it comes from a node that had it from the reader
};

} // namespace gooseberrymoor
