#pragma once

#include <string>

namespace gooseberrymoor {

// A target that may be asked for the shards of its group, and the node that owns it. Value type.
struct leaf_candidate
{
    std::string target; // its name in the service
    std::string key; // "service/target"
    std::string version;
    int sharePermille = 0; // of its version, not 0
    std::string availabilityZone;
    std::string owner; // name of the owning node
};

} // namespace gooseberrymoor
