#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/store/store_change.h"
#include "gooseberrymoor/store/store_era.h"

#include <cstdint>
#include <optional>
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
    std::optional<store_era> era {}; // of the revisions; a process of an earlier build tells none
    bool isSnapshot = false; // `changes` are all keys that the store has, at `toRevision`
};

} // namespace gooseberrymoor
