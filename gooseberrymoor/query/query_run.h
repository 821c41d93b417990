#pragma once

#include "gooseberrymoor/admission/leaf_message.h"
#include "gooseberrymoor/query/leaf_candidate.h"
#include "gooseberrymoor/query/query_answer.h"
#include "gooseberrymoor/query/query_policies.h"
#include "gooseberrymoor/query/query_request.h"
#include "gooseberrymoor/query/routing_table.h"
#include "gooseberrymoor/query/shard_progress.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrymoor {

// A leaf request that a query wants sent to the owner of its target.
struct outgoing_leaf_request
{
    int attempt = 0; // unique in the query, counted from 1
    std::string owner;
    leaf_request request; // its id is left to the sender
};

// What a query wants done now.
struct query_actions
{
    std::vector<outgoing_leaf_request> sends;
    std::vector<int> cancels; // attempts whose answers are no longer wanted
};

// Decides one query from its first leaf request to its answer: which target is asked for each
// shard, when one is asked again, and what the answer covers. All parts are of one snapshot,
// chosen at the start; if targets lack it, the whole query is asked once more on another one and
// the parts of the first are dropped. Plain state; the caller passes the time in and carries the
// actions out. Not thread-safe.
class query_run
{
public:
    // The service must be in `routes`.
    query_run(query_request request, std::shared_ptr<const routing_table> routes,
              query_policies policies);

    // Sends the first requests.
    query_actions start(time_point now);

    // Attempt `attempt` was answered, or failed. What is not outstanding is ignored.
    query_actions onResponse(int attempt, leaf_response response, time_point now);

    // Time has passed: hedges, retries, or gives up at the deadline.
    query_actions onTime(time_point now);

    // The answer is no longer wanted: ends the run at once.
    query_actions abandon(time_point now);

    // Uses `routes` for what is sent from now on, if they know the query's snapshot.
    void setRoutes(std::shared_ptr<const routing_table> routes);

    // When `onTime` has something to do next.
    time_point nextWake() const { return m_nextWake; }

    // Whether the answer is complete.
    bool isFinished() const { return m_open == 0; }

    // The answer; complete once the run is finished.
    query_answer answer() const;

private:
    // Why a leaf request is sent.
    enum class send_reason {
        first,
        redirect, // the one before was surely not taken by an owner
        extra, // a hedge or a retry
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

    void begin(const snapshot_config &snapshot);
    std::vector<std::string> wantedShards(const snapshot_config &snapshot) const;
    bool ask(std::size_t index, send_reason why, time_point now, query_actions &actions);
    outgoing_leaf_request makeCall(const shard_progress &shard, const leaf_candidate &target,
                                   time_point now);
    void cover(shard_progress &shard, std::string body, time_point now, query_actions &actions);
    void fail(shard_progress &shard, const leaf_response &response);
    void askElsewhere(std::size_t index, const leaf_response &response, time_point now,
                      query_actions &actions);
    bool scheduleRetry(shard_progress &shard, time_point now);
    void hedge(std::size_t index, time_point now, query_actions &actions);
    void settle(shard_progress &shard, error_kind unwantedAs, time_point now,
                query_actions &actions);
    void askOtherSnapshot(time_point now, query_actions &actions);
    bool mayAskOtherSnapshot(time_point now) const;
    bool isTooMuchMissing() const;
    void cancelOutstanding(shard_progress &shard, error_kind as, time_point now,
                           query_actions &actions);
    void giveUp(error_kind reason, time_point now, query_actions &actions);
    void endAttempt(int attempt, error_kind error, int queued, time_point now);
    void wakeBy(time_point when);
    void updateWake();

    query_request m_request;
    std::shared_ptr<const routing_table> m_routes;
    query_policies m_policies;
    std::string m_snapshot;
    std::map<std::string, verdict> m_earlierOutcomes; // by shard, of the snapshot given up
    std::vector<shard_progress> m_shards; // sorted by name
    std::vector<attempt_state> m_attempts; // attempt n at n - 1
    time_point m_startedAt {};
    time_point m_nextWake;
    int m_extra = 0;
    std::size_t m_open = 0;
    std::size_t m_missing = 0; // shards given up because targets lack the snapshot
    bool m_askedAgain = false;
};

} // namespace gooseberrymoor
