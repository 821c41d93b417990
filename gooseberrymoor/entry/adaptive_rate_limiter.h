#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/recent_latency.h"

#include <cstddef>

namespace gooseberrymoor {

// The result of one query, as input for the rate limiter. Value type.
struct query_outcome
{
    std::size_t requestedShards = 0;
    std::size_t answeredShards = 0;
    std::size_t shedShards = 0; // not answered for lack of capacity
    duration latency {};
};

// Limits the rate at which queries of one service may request shards, in shards per second. The
// limit follows additive increase and multiplicative decrease (AIMD) and applies only after shards
// were shed. Without it, every query of an overloaded service loses a few shards and hardly any
// answer is complete; admitting fewer queries keeps their answers complete.
// Performs no I/O and reads no clock. Not thread-safe.
class adaptive_rate_limiter
{
public:
    // Whether a query for `shards` shards with `timeLeft` until its deadline is admitted. If not,
    // a probe query is still admitted at intervals, to measure whether the reason persists.
    bool admit(std::size_t shards, duration timeLeft, time_point now);

    // Records the result of an admitted query.
    void onQueryEnded(const query_outcome &outcome, time_point now);

    // The limit in shards per second; 0 means unlimited.
    double limit() const { return m_isLimited ? m_limit : 0; }

private:
    void refill(time_point now);
    void closeWindow(duration length, time_point now);
    duration medianCompleteLatency() const;

    recent_latency m_completeAnswerLatencies; // of queries whose shards were all answered
    time_point m_windowStart {};
    time_point m_refilledAt {};
    time_point m_holdUntil {}; // no further decrease until the last one can have had an effect
    time_point m_probedAt {};
    std::size_t m_admittedShards = 0; // in this window
    std::size_t m_endedShards = 0; // in this window
    std::size_t m_shedShards = 0; // in this window
    double m_limit = 0; // shards per second
    double m_tokens = 0; // shards; negative after a query with more shards than tokens were left
    bool m_isLimited = false;
    bool m_hasProbed = false;
};

} // namespace gooseberrymoor
