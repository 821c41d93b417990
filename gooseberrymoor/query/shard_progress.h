#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/request_error.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

struct leaf_candidate;

// How far a query has come with one shard. Value type.
struct shard_progress
{
    std::string name;
    std::string group;
    const std::vector<leaf_candidate> *candidates = nullptr;
    std::vector<std::string> asked; // targets that need not be asked again
    std::vector<int> outstanding; // attempts without an answer
    time_point hedgeAt = time_point::max();
    time_point retryAt = time_point::max();
    bool wasRetried = false; // after a pause, when all targets had refused
    bool done = false;
    bool covered = false;
    std::string body;
    error_kind reason = error_kind::none; // of the last attempt that failed
    verdict outcome = verdict::not_run; // the worst of all attempts
};

} // namespace gooseberrymoor
