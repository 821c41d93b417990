#pragma once

#include <map>
#include <string>

namespace gooseberrymoor {

// One snapshot of a service's index, and the group that holds each shard. Value type.
struct snapshot_config
{
    std::string id;
    std::map<std::string, std::string> groupOfShard;

    bool operator==(const snapshot_config &) const = default;
};

} // namespace gooseberrymoor
