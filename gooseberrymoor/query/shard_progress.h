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
    std::vector<std::string> triedTargets; // not to be tried again in this round
    std::vector<int> outstanding; // attempts without an answer yet
    time_point hedgeAt = time_point::max();
    // Start of the second round of attempts, which follows after a delay if all targets refused in
    // the first one.
    time_point secondRoundAt = time_point::max();
    bool hadSecondRound = false; // or one is scheduled
    bool done = false; // answered or given up
    bool covered = false; // answered
    std::string body;
    error_kind reason = error_kind::none; // of the most recent failed attempt
    // The highest verdict of all attempts, including those on an earlier snapshot. Verdicts compare
    // in the order of their enumerators.
    verdict outcome = verdict::not_run;
};

} // namespace gooseberrymoor
