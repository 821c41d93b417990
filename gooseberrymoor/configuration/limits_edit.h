#pragma once

#include <cstdint>
#include <optional>

namespace gooseberrymoor {

// New limits of a service; an empty field leaves its limit unchanged. Value type.
struct limits_edit
{
    std::optional<std::int64_t> slots;
    std::optional<std::int64_t> connections;
    std::optional<std::int64_t> coldSlots;
    std::optional<std::int64_t> warmupMs;
};

} // namespace gooseberrymoor
