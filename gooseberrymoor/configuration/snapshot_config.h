#pragma once

#include <map>
#include <string>

namespace gooseberrymoor {

// One snapshot of a service's index: which group holds each of its shards. Value type.
struct snapshot_config
{
    std::string id;
    std::map<std::string, std::string> groupOfShard;

    bool operator==(const snapshot_config &) const = default;
};

} // namespace gooseberrymoor
