#pragma once

#include "gooseberrymoor/configuration/target_config.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// A set of targets that hold the same shards. Value type.
struct group_config
{
    std::string name; // unique within the service
    std::vector<target_config> targets;

    bool operator==(const group_config &) const = default;
};

} // namespace gooseberrymoor
