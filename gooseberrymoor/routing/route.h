#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/routing/request_kind.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// One of the services that share a route's requests, with its weight among them.
struct weighted_service
{
    std::string service;
    double weight = 0;
};

// Where requests of one host and path prefix go, and how. Value type.
// Exactly one of `split` and `shards` has entries.
struct route
{
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    request_kind kind = request_kind::idempotent;
    duration timeout { 0 }; // the longest that a caller is kept waiting
    duration targetLatency { 0 }; // answers are worth most within it
    int priority = 0; // 0 is the most urgent
    std::vector<weighted_service> split; // one service serves a request
    std::vector<std::string> shards; // all of these services serve parts of a request
    unsigned maxAttempts = 1; // targets that one request may be sent to, for each shard
    std::size_t maxRecords = 0; // of a merged answer
    double minSuccessShare = 1; // share of the shards that a merged answer must hold
};

} // namespace gooseberrymoor
