#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/store/store_change.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The changes to the keys below `prefix` between two store revisions, as one node has read them and
// sends them to its peers. Value type.
struct mirror_update
{
    std::string prefix;
    std::int64_t fromRevision = 0;
    std::int64_t toRevision = 0;
    duration storeHealthyFor { 0 }; // time since the reader's last failed call to the store
    std::vector<store_change> changes; // only the significant ones
    bool isRelayed = false; // sent by a node that received it from the reader
};

} // namespace gooseberrymoor
