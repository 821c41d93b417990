#pragma once

#include <string>

namespace gooseberrymoor {

// How much of a service's traffic a version of its back ends may serve. Value type.
struct version_config
{
    std::string name;
    int sharePermille = 1000; // 0 to 1000
    bool blocked = false; // found bad: gets nothing

    bool operator==(const version_config &) const = default;
};

} // namespace gooseberrymoor
