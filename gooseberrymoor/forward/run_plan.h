#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/routing/request_kind.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// What one request of a caller asks of the services that serve it. Value type.
struct run_plan
{
    std::vector<std::string> services; // one for each shard; one in all for an unsharded route
    bool isSharded = false;
    request_kind kind = request_kind::idempotent;
    unsigned maxAttempts = 1; // runs for each shard
    double minSuccessShare = 1; // of the shards, for an answer that is worth giving
    duration hedgeDelay { 0 }; // until a shard's silence is worth a second request; 0: never
    time_point answerBy {}; // a sharded answer goes out by then if it holds the least share
    time_point deadline {}; // the caller waits no longer
};

} // namespace gooseberrymoor
