#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <algorithm>

namespace gooseberrymoor {

// How long calls to a store are waited for: short, so that a store that is back after an outage is
// soon noticed, and longer while it is slow. Pure decision. Not thread-safe.
class adaptive_call_timeout
{
public:
    // Bounds of the time for one call.
    adaptive_call_timeout(duration shortest, duration longest)
        : m_shortest(shortest), m_longest(longest), m_time(shortest)
    {
    }

    duration time() const { return m_time; }

    // A call was answered after `taken`.
    void onAnswered(duration taken)
    {
        m_time = std::clamp(taken * slow_factor, m_shortest, m_longest);
    }

    // A call that was waited for as long as `waited` was not answered.
    void onTimedOut(duration waited) { m_time = std::max(m_time, std::min(waited * 2, m_longest)); }

private:
    static constexpr int slow_factor = 3; // times the last answer

    duration m_shortest;
    duration m_longest;
    duration m_time;
};

} // namespace gooseberrymoor
