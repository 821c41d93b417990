#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/routing/request_kind.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// How to execute one caller's request. Value type.
struct run_plan
{
    std::vector<std::string> services; // one per shard; a single one for an unsharded route
    bool isSharded = false;
    request_kind kind = request_kind::idempotent;
    unsigned maxAttempts = 1; // per shard
    double minSuccessShare = 1; // share of the shards that a successful response must include
    duration hedgeDelay { 0 }; // time without a response before a hedge is sent; 0: no hedges
    time_point softDeadline {}; // a sharded response is sent then if it includes enough shards
    time_point deadline {}; // of the caller
};

} // namespace gooseberrymoor
