#pragma once

#include "gooseberrymoor/base/request_error.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// The part of an answer that comes from one shard.
struct shard_result
{
    std::string shard;
    std::string body;
};

// A shard that the answer does not cover, the reason, and whether the request may have run there.
struct uncovered_shard
{
    std::string shard;
    error_kind reason = error_kind::none;
    verdict outcome = verdict::not_run;
};

// The answer to a query: the parts that were received, all of one snapshot, and the shards that are
// not covered. Value type.
struct query_answer
{
    std::string snapshot;
    std::vector<shard_result> results; // sorted by shard
    std::vector<uncovered_shard> uncovered; // sorted by shard
    int leafRequests = 0; // all that were sent
    int extraRequests = 0; // of these, hedges, retries and those of a restart
    bool usedFallbackSnapshot = false; // restarted because targets lacked the first snapshot

    std::size_t shards() const { return results.size() + uncovered.size(); }
};

} // namespace gooseberrymoor
