#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/request_error.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

struct leaf_candidate;

// The state of one shard of a query. Value type.
struct shard_progress
{
    std::string name;
    std::string group;
    const std::vector<leaf_candidate> *candidates = nullptr;
    std::vector<std::string> triedTargets; // not to be tried again
    std::vector<int> outstanding; // attempts without an answer yet
    time_point hedgeAt = time_point::max();
    time_point retryAt = time_point::max();
    bool wasRetried = false; // after a delay, once all targets had refused
    bool done = false; // answered or given up
    bool covered = false; // answered
    std::string body;
    error_kind reason = error_kind::none; // of the most recent failed attempt
    verdict outcome = verdict::not_run; // highest of all attempts, earlier snapshot included
};

} // namespace gooseberrymoor
