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

// State machine of one caller's request: selects the target for each shard, decides when to send
// hedges and retries, and when the response is complete. Handles targets that pause, fail or crash
// while others are healthy. Pure decision logic without I/O or clock: callers pass in events and
// the current time, and send the returned attempts. Not thread-safe. The selector and the budget
// must outlive it.
class request_run
{
public:
    request_run(run_plan plan, replica_selector &selector, repeat_budget &budget);

    // Starts the request; returns the first attempts.
    std::vector<planned_attempt> start(time_point now);

    // Handles the outcome of `attempt` for `shard`; returns the retries to send.
    std::vector<planned_attempt> onAttemptEnded(std::size_t shard, std::uint64_t attempt,
                                                attempt_outcome outcome, time_point now);

    // Handles the time `nextWake`; returns the hedges and retries to send.
    std::vector<planned_attempt> onTime(time_point now);

    // Plans no attempts from now on, so that the request is complete once no attempt is in
    // progress.
    void stopSending() { m_isSendingStopped = true; }
    bool isSendingStopped() const { return m_isSendingStopped; }

    // Time at which to call `onTime` next.
    time_point nextWake(time_point now) const;

    // Whether the request is complete, so that the caller is answered with the shards that have
    // responded.
    bool isComplete(time_point now) const;

    // Whether enough shards have responded for a successful response.
    bool isSuccess() const;

    // Number of shards that have responded.
    std::size_t answered() const { return m_answered; }

    // Whether it is certain that no target has executed or will execute the request.
    bool hasDefinitelyNotRun() const;

    // Earliest time at which enough shards for a success have a target that accepts requests, as
    // far as the last selections showed. A time in the past if they already had one, and
    // `time_point::max()` if no target is eligible.
    time_point enoughAvailableAt() const;

    // Whether an attempt is still in progress.
    bool hasOutstanding() const;

    // Total number of attempts.
    std::uint64_t sent() const { return m_lastAttempt; }

private:
    struct shard_state
    {
        std::set<std::string> triedTargets; // ids
        std::set<std::uint64_t> outstanding;
        unsigned possibleRuns = 0; // attempts that are in progress or may have been executed
        unsigned refusals = 0; // attempts that were certainly not executed
        bool answered = false;
        bool mayHaveRun = false; // a completed attempt may have been executed
        time_point availableAt {}; // of a target, after a selection found none
        bool isUnavailable = false; // no target accepted requests at the last selection
        bool isBudgetExhausted = false; // the budget did not allow the last hedge or retry
        bool mayHaveReachedTarget = false; // so that further attempts count as repeats
        time_point lastSent {};
        time_point retryAt {}; // earliest time of the next attempt to select a target
    };

    void planAttempt(std::vector<planned_attempt> &attempts, std::size_t shard, send_reason reason,
                     time_point now);
    bool mayRetry(const shard_state &state) const;
    bool mayHedge(const shard_state &state) const;
    bool isExhausted(const shard_state &state) const;
    bool hasPendingShard() const;
    bool isWithinHedgeLimit() const;
    std::size_t requiredShards() const;

    run_plan m_plan;
    replica_selector &m_selector;
    repeat_budget &m_budget;
    std::vector<shard_state> m_shards;
    std::size_t m_answered = 0;
    std::uint64_t m_lastAttempt = 0;
    bool m_isSendingStopped = false;
};

} // namespace gooseberrymoor
