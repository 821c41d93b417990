#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <algorithm>

namespace gooseberrymoor {

// When a node that has been told to stop takes requests, so that none is cut at its end.
// Value type.
class stop_schedule
{
public:
    // The order came at `begun`; the process ends `time` later.
    stop_schedule(time_point begun, duration time) : m_begun(begun), m_end(begun + time) { }

    // Whether a request that may take as long as `longest` is taken at `now`. Early ones always
    // are: callers still hold this node's address, and nearly all end well before the time is up.
    bool acceptsRequest(time_point now, duration longest) const
    {
        if (now < m_begun + (m_end - m_begun) / 2)
            return true;
        return now + std::min(longest, m_end - m_begun) <= m_end - margin;
    }

    // From when on no connection is let in.
    time_point closeTime() const { return m_end - closing; }

    time_point end() const { return m_end; }

private:
    static constexpr duration margin { 100 }; // for the answer's way out
    static constexpr duration closing { 400 };

    time_point m_begun;
    time_point m_end;
};

} // namespace gooseberrymoor
