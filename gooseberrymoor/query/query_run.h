#pragma once

#include "gooseberrymoor/admission/leaf_message.h"
#include "gooseberrymoor/query/query_answer.h"
#include "gooseberrymoor/query/query_request.h"
#include "gooseberrymoor/query/routing_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class hedge_policy;
class leaf_selector;

// A leaf request that a query wants sent to the owner of its target.
struct leaf_call
{
    int attempt = 0; // unique in the query
    std::string owner;
    leaf_request request; // its id is left to the sender
};

// What a query wants done now.
struct query_actions
{
    std::vector<leaf_call> sends;
    std::vector<int> cancels; // attempts whose answers are no longer wanted
};

// Decides one query from its first leaf request to its answer: which target is asked for each
// shard, when one is asked again, and what the answer covers. All parts are of one snapshot,
// chosen at the start. Plain state; the caller passes the time in and carries the actions out.
// Not thread-safe.
class query_run
{
public:
    // The service must be in `routes`. Selector and policy must outlive the run.
    query_run(query_request request, std::shared_ptr<const routing_table> routes,
              leaf_selector &selector, hedge_policy &hedging);

    // Sends the first requests.
    query_actions start(time_point now);

    // Attempt `attempt` was answered, or failed.
    query_actions onResponse(int attempt, leaf_response response, time_point now);

    // Time has passed: hedges, or gives up at the deadline.
    query_actions onTime(time_point now);

    // When `onTime` has something to do next.
    time_point nextWake() const;

    // Whether the answer is complete.
    bool isFinished() const { return m_open == 0; }

    // The answer; complete once the run is finished.
    query_answer answer() const;

private:
    struct attempt_state
    {
        std::string shard;
        std::string target;
        time_point sentAt;
    };
    struct shard_state
    {
        const std::vector<leaf_candidate> *candidates = nullptr;
        std::set<std::string> asked;
        std::set<int> outstanding;
        time_point hedgeAt = time_point::max();
        bool done = false;
        bool covered = false;
        std::string body;
        error_kind reason = error_kind::none;
        verdict outcome = verdict::not_run;
    };

    void ask(const std::string &name, shard_state &shard, bool extra, time_point now,
             query_actions &actions);
    void settle(shard_state &shard, query_actions &actions);
    void fail(shard_state &shard, const leaf_response &response);
    void endAttempt(int attempt);

    query_request m_request;
    std::shared_ptr<const routing_table> m_routes;
    leaf_selector &m_selector;
    hedge_policy &m_hedging;
    std::string m_snapshot;
    std::map<std::string, shard_state> m_shards;
    std::map<int, attempt_state> m_attempts;
    int m_lastAttempt = 0;
    int m_extra = 0;
    std::size_t m_open = 0;
};

} // namespace gooseberrymoor
