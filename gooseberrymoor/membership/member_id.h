#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace gooseberrymoor {

// Identifies one incarnation of a node; each restart of the node is a new incarnation. Value type.
struct member_id
{
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const member_id &) const = default;
};

} // namespace gooseberrymoor
