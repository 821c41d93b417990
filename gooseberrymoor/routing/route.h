#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/routing/request_kind.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// A service that receives a share of a route's requests in proportion to its weight.
struct weighted_service
{
    std::string service;
    double weight = 0;
};

// How requests for a host and path prefix are routed: either each request goes to one service of
// `split`, or it is sharded, so that each service of `shards` answers one part of it. Exactly one
// of the two is non-empty. Value type.
struct route
{
    std::string name;
    std::string host;
    std::string pathPrefix; // starts and ends with a slash
    request_kind kind = request_kind::idempotent;
    duration timeout { 0 }; // maximum time until the caller is answered
    duration targetLatency { 0 }; // latency objective for complete answers
    int priority = 0; // 0 is the highest; larger numbers are lower priorities
    std::vector<weighted_service> split; // each request goes to one of these services
    std::vector<std::string> shards; // each request goes to all of these services, one per shard
    // Maximum number of attempts per shard, including the first one. Attempts that were definitely
    // not executed do not count.
    unsigned maxAttempts = 1;
    std::size_t maxRecords = 0; // in a merged answer
    double minSuccessShare = 1; // fraction of the shards that a merged answer must contain
};

} // namespace gooseberrymoor
