#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/recent_latency.h"

#include <cstddef>

namespace gooseberrymoor {

// How one query fared. Value type.
struct query_outcome
{
    std::size_t shards = 0; // asked
    std::size_t covered = 0;
    std::size_t shed = 0; // without an answer for want of capacity
    duration took {};
};

// How many shards of one service a node lets queries ask a second, found by additive increase and
// multiplicative decrease. While leaf requests are shed, each query lacks some shard, so that no
// answer would be whole if every query were let in; a lower rate of queries keeps them whole. The
// rate is unlimited until shards are shed. Plain state. Not thread-safe.
class adaptive_rate_limiter
{
public:
    // Whether a query for `shards` that has `timeLeft` is taken now. A few are always taken, to
    // learn from.
    bool admit(std::size_t shards, duration timeLeft, time_point now);

    // A query that was taken has ended.
    void onEnded(const query_outcome &outcome, time_point now);

    // Shards a second that are taken; 0 means that there is no limit.
    double limit() const { return m_limited ? m_limit : 0; }

private:
    void refill(time_point now);
    void closeWindow(duration length, time_point now);
    duration typicalTime() const;

    recent_latency m_wholeTimes; // of queries with a whole answer
    time_point m_windowStart {};
    time_point m_refilledAt {};
    time_point m_holdUntil {}; // until then a lower limit cannot have shown its effect
    time_point m_probedAt {};
    std::size_t m_admitted = 0; // shards in this window, as the next two
    std::size_t m_shards = 0;
    std::size_t m_shed = 0;
    double m_limit = 0; // shards a second
    double m_tokens = 0; // shards; negative after a query that was wider than what was left
    bool m_limited = false;
    bool m_hasProbed = false;
};

} // namespace gooseberrymoor
