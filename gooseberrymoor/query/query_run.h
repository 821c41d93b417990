#pragma once

#include "gooseberrymoor/admission/leaf_message.h"
#include "gooseberrymoor/query/leaf_candidate.h"
#include "gooseberrymoor/query/leaf_candidate_table.h"
#include "gooseberrymoor/query/query_answer.h"
#include "gooseberrymoor/query/query_policies.h"
#include "gooseberrymoor/query/query_request.h"
#include "gooseberrymoor/query/shard_progress.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrymoor {

// A leaf request to be sent to the owner of its target.
struct outgoing_leaf_request
{
    int attempt = 0; // number within the query, from 1
    std::string owner;
    leaf_request request; // without an id; the sender assigns it
};

// The actions that a query requests in response to an event.
struct query_actions
{
    std::vector<outgoing_leaf_request> sends;
    std::vector<int> cancels; // attempts whose answers are no longer needed
};

// State machine of one query, from its first leaf request to its answer: chooses the target of
// each shard, decides on hedges, retries and cancellations, and assembles the answer. All parts
// come from one snapshot, chosen at the start. If targets lack it, the whole query is restarted
// once on a fallback snapshot, and the parts of the first one are discarded. Does no I/O and reads
// no clock: the caller passes in the current time and carries out the actions. Not thread-safe.
class query_run
{
public:
    // The service must be in `routes`.
    query_run(query_request request, std::shared_ptr<const leaf_candidate_table> routes,
              query_policies policies);

    // Chooses the snapshot and returns the first request for each shard.
    query_actions start(time_point now);

    // Handles the response to `attempt` or its failure. Ignores attempts that are not outstanding.
    query_actions onResponse(int attempt, leaf_response response, time_point now);

    // Sends the hedges and retries that are due by `now`; ends the run at the deadline.
    query_actions onTime(time_point now);

    // Ends the run immediately, because the caller no longer needs the answer.
    query_actions abandon(time_point now);

    // Uses `routes` for subsequent requests, unless they lack the query's snapshot or map one of
    // its shards to another group.
    void setRoutes(std::shared_ptr<const leaf_candidate_table> routes);

    // Returns when to call `onTime` next.
    time_point nextWake() const { return m_nextWake; }

    // Returns whether every shard has been answered or given up.
    bool isFinished() const { return m_openShards == 0; }

    // Returns the answer; complete once the run is finished.
    query_answer answer() const;

private:
    enum class send_reason {
        first,
        redirect, // the previous attempt was definitely not dispatched to a target
        extra, // a hedge, a retry, or a request of a restart
    };
    struct attempt_state
    {
        std::size_t shard = 0;
        std::string key;
        std::string target;
        std::string version;
        time_point sentAt;
        bool open = true;
    };

    void startSnapshot(const snapshot_config &snapshot);
    std::vector<std::string> requestedShards(const snapshot_config &snapshot) const;
    bool trySend(std::size_t index, send_reason reason, time_point now, query_actions &actions);
    outgoing_leaf_request makeLeafRequest(const shard_progress &shard, const leaf_candidate &target,
                                          time_point now);
    void completeShard(shard_progress &shard, std::string body, time_point now,
                       query_actions &actions);
    void recordFailure(shard_progress &shard, const leaf_response &response);
    void handleFailure(std::size_t index, const leaf_response &response, time_point now,
                       query_actions &actions);
    bool scheduleSecondRound(shard_progress &shard, time_point now);
    void tryHedge(std::size_t index, time_point now, query_actions &actions);
    // Marks `shard` as done and cancels its outstanding attempts. `cancelReason` is recorded for
    // these attempts only; the reason and outcome of the shard do not change.
    void closeShard(shard_progress &shard, error_kind cancelReason, time_point now,
                    query_actions &actions);
    void restartOnFallback(time_point now, query_actions &actions);
    bool canRestart(time_point now) const;
    bool isSnapshotUnavailable() const;
    void cancelOutstanding(shard_progress &shard, error_kind cancelReason, time_point now,
                           query_actions &actions);
    void failOpenShards(error_kind reason, time_point now, query_actions &actions);
    void endAttempt(int attempt, error_kind error, int queued, time_point now);
    void scheduleWake(time_point when);
    void recomputeNextWake();

    query_request m_request;
    std::shared_ptr<const leaf_candidate_table> m_routes;
    query_policies m_policies;
    std::string m_snapshot;
    std::map<std::string, verdict> m_previousOutcomes; // by shard, from before the restart
    std::vector<shard_progress> m_shards; // sorted by name
    std::vector<attempt_state> m_attempts; // attempt n at index n - 1
    time_point m_startedAt {};
    time_point m_nextWake;
    int m_extraRequests = 0;
    std::size_t m_openShards = 0;
    std::size_t m_shardsWithoutSnapshot = 0; // given up because targets lack the snapshot
    bool m_usedFallbackSnapshot = false;
};

} // namespace gooseberrymoor
