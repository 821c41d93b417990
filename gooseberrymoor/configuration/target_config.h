#pragma once

#include "gooseberrymoor/base/endpoint.h"

#include <string>

namespace gooseberrymoor {

// One leaf of a group: a back end that serves the group's shards. Value type.
struct target_config
{
    std::string name; // unique within the service
    endpoint address;
    std::string availabilityZone;
    std::string version;
    bool leaving = false;

    bool operator==(const target_config &) const = default;
};

} // namespace gooseberrymoor
