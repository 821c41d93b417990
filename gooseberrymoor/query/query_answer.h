#pragma once

#include "gooseberrymoor/base/request_error.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// One shard's part of an answer.
struct shard_result
{
    std::string shard;
    std::string body;
};

// A shard that the answer does not cover, and why.
struct uncovered_shard
{
    std::string shard;
    error_kind reason = error_kind::none;
    verdict outcome = verdict::not_run;
};

// What a caller gets: the parts of one snapshot, and what is missing. Value type.
struct query_answer
{
    std::string snapshot;
    std::vector<shard_result> results; // sorted by shard
    std::vector<uncovered_shard> uncovered; // sorted by shard
    int leafRequests = 0; // sent in all
    int extraRequests = 0; // of these, hedges and retries
    bool usedFallbackSnapshot = false; // on another snapshot than the first

    std::size_t shards() const { return results.size() + uncovered.size(); }
};

} // namespace gooseberrymoor
