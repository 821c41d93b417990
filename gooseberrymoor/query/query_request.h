#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// A query that a caller sends to a service. Value type.
struct query_request
{
    std::string service;
    std::vector<std::string> shards; // empty: all shards of the snapshot
    std::string body;
    bool idempotent = true; // false: exactly one shard, and never resent after it may have run
    time_point deadline {};
    std::string route {}; // kind of request, named by the caller; may be empty
};

} // namespace gooseberrymoor
