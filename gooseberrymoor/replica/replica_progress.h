#pragma once

#include <compare>
#include <cstdint>

namespace gooseberrymoor {

// How far a target had got when it wrote its registry entry: a later entry of the same target is
// greater. Value type.
struct replica_progress
{
    std::int64_t incarnation = 0; // 0 if the entry doesn't tell it
    std::int64_t sequence = 0; // increases with each write of one incarnation

    auto operator<=>(const replica_progress &) const = default;
};

} // namespace gooseberrymoor
