#pragma once

#include <string>

namespace gooseberrymoor {

// A target that leaf requests for the shards of its group may go to, and its owner. Value type.
struct leaf_candidate
{
    std::string target; // name, unique within the service
    std::string key; // "service/target"
    std::string version;
    int sharePermille = 0; // traffic share of the version, greater than 0
    std::string availabilityZone;
    std::string owner; // name of the node that owns the target
};

} // namespace gooseberrymoor
