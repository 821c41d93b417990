#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// What a caller asks of a service. Value type.
struct query_request
{
    std::string service;
    std::vector<std::string> shards; // empty: all shards of the snapshot
    std::string body;
    bool idempotent = true; // false: exactly one shard, sent once
    time_point deadline {};
    std::string route {}; // what kind of request it is, as the caller names it; may be empty
};

} // namespace gooseberrymoor
