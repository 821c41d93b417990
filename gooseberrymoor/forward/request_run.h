#pragma once

#include "gooseberrymoor/forward/planned_attempt.h"
#include "gooseberrymoor/forward/run_plan.h"
#include "gooseberrymoor/replica/attempt_outcome.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class repeat_budget;
class replica_selector;

// Decides one request of a caller: which target of each shard is asked, when a silent one is
// hedged or a failed one retried, and when the answer is complete. Load answered: targets that
// pause, fail or crash beside healthy ones. Pure decision: events and the time in, sends out.
// Not thread-safe. Selector and budget must outlive it.
class request_run
{
public:
    request_run(run_plan plan, replica_selector &selector, repeat_budget &budget);

    // Begins: what to send first.
    std::vector<planned_attempt> start(time_point now);

    // Attempt `attempt` at `shard` ended; returns what to send in its place.
    std::vector<planned_attempt> onEnding(std::size_t shard, std::uint64_t attempt,
                                          attempt_outcome ending, time_point now);

    // `nextWake` has been reached.
    std::vector<planned_attempt> onTime(time_point now);

    // When `onTime` has something to decide.
    time_point nextWake(time_point now) const;

    // Whether the caller is answered now, with the shards that are answered.
    bool isComplete(time_point now) const;

    // Whether the answered shards are enough for a success.
    bool isSuccess() const;

    // Shards that are answered.
    std::size_t answered() const { return m_answered; }

    // Whether it is sure that no target has run or will run the request.
    bool hasDefinitelyNotRun() const;

    // Whether an attempt is still under way.
    bool hasOutstanding() const;

    // Requests sent in all.
    std::uint64_t sent() const { return m_lastAttempt; }

private:
    struct shard_state
    {
        std::set<std::string> tried; // ids of targets
        std::set<std::uint64_t> outstanding;
        unsigned runs = 0; // sends that are under way or may have run
        unsigned refusals = 0; // sends that surely did not run
        bool answered = false;
        bool mayHaveRun = false; // an attempt that ended may have run
        bool denied = false; // the budget had nothing for its last repeat
        bool arrived = false; // the first request for it may have reached a target
        time_point lastSent {};
        time_point retryAt {}; // when a target is sought again
    };

    void send(std::vector<planned_attempt> &sends, std::size_t shard, send_reason reason,
              time_point now);
    bool mayRetry(const shard_state &state) const;
    bool mayHedge(const shard_state &state) const;
    bool isLost(const shard_state &state) const;
    bool hasUnansweredOutstanding() const;
    bool isNearlyAnswered() const;
    std::size_t leastShards() const;

    run_plan m_plan;
    replica_selector &m_selector;
    repeat_budget &m_budget;
    std::vector<shard_state> m_shards;
    std::size_t m_answered = 0;
    std::uint64_t m_lastAttempt = 0;
};

} // namespace gooseberrymoor
