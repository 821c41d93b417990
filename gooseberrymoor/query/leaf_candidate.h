#pragma once

#include <string>

namespace gooseberrymoor {

// A target that may be asked for the shards of its group, and the node that owns it. Value type.
struct leaf_candidate
{
    std::string target; // its name in the service
    std::string version;
    std::string owner; // name of the owning node
};

} // namespace gooseberrymoor
