#pragma once

#include "gooseberrymoor/store/store_era.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

// A change of one key. Without a value, the key was deleted. Value type.
struct store_change
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t modRevision = 0;
};

// The changes up to `revision`, in the order in which they were made.
struct store_changes
{
    std::int64_t revision = 0;
    std::vector<store_change> changes;
    store_era era = store_era::first; // of the revisions
};

} // namespace gooseberrymoor
