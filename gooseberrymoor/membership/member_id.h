#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace gooseberrymoor {

// One start of one node. Another start of the same node is another identity. Value type.
struct member_id
{
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const member_id &) const = default;
};

} // namespace gooseberrymoor
