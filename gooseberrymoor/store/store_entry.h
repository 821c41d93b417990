#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

// One key of the store with the revision of its last change. Value type.
struct store_entry
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
};

// What a read saw, all at one revision of the store.
struct store_read
{
    std::int64_t revision = 0;
    std::vector<store_entry> entries; // sorted by key
};

} // namespace gooseberrymoor
