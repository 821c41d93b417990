#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

// One key of the store that was written, or removed if there is no value. Value type.
struct mirror_change
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t revision = 0;
};

} // namespace gooseberrymoor
