#pragma once

#include "gooseberrymoor/store/store_era.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

// A key, its value and the revision of its last change. Value type.
struct store_entry
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
};

// The result of a read. It reflects every change up to `revision`; a read in several pages may
// also contain later ones.
struct store_read
{
    std::int64_t revision = 0;
    std::vector<store_entry> entries; // sorted by key
    store_era era = store_era::first; // of the revisions
};

} // namespace gooseberrymoor
