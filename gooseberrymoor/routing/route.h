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

// How requests for a host and path prefix are routed. Exactly one of `split` and `shards` is
// non-empty. Value type.
struct route
{
    std::string name;
    std::string host;
    std::string pathPrefix; // starts and ends with a slash
    request_kind kind = request_kind::idempotent;
    duration timeout { 0 }; // maximum time until the caller is answered
    duration targetLatency { 0 }; // answers within it are worth most
    int priority = 0; // 0 is the highest
    std::vector<weighted_service> split; // each request goes to one of these services
    std::vector<std::string> shards; // each request goes to all of these services
    unsigned maxAttempts = 1; // targets that a request may be sent to, per shard
    std::size_t maxRecords = 0; // in a merged answer
    double minSuccessShare = 1; // fraction of the shards that a merged answer must contain
};

} // namespace gooseberrymoor
