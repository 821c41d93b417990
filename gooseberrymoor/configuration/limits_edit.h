#pragma once

#include <cstdint>
#include <optional>

namespace gooseberrymoor {

// Which limits of a service are to change; what is empty stays. Value type.
struct limits_edit
{
    std::optional<std::int64_t> slots;
    std::optional<std::int64_t> connections;
    std::optional<std::int64_t> coldSlots;
    std::optional<std::int64_t> warmupMs;
};

} // namespace gooseberrymoor
