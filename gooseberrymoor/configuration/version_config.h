#pragma once

#include <string>

namespace gooseberrymoor {

// The share of a service's traffic that one version of its back ends may serve. Value type.
struct version_config
{
    std::string name;
    int sharePermille = 1000; // 0 to 1000
    bool blocked = false; // known to be bad; receives no traffic

    bool operator==(const version_config &) const = default;
};

} // namespace gooseberrymoor
