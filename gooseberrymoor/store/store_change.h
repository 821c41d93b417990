#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

// One change of a key; no value if it was removed. Value type.
struct store_change
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t modRevision = 0;
};

// What changed up to `revision`, in the order of the changes.
struct store_changes
{
    std::int64_t revision = 0;
    std::vector<store_change> changes;
};

} // namespace gooseberrymoor
