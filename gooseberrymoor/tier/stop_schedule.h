#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <algorithm>

namespace gooseberrymoor {

// Decides which requests and connections a stopping node still accepts, so that no request is
// interrupted by the end of the process. Value type.
class stop_schedule
{
public:
    // The stop started at `startedAt`; the process ends `stopTime` later.
    stop_schedule(time_point startedAt, duration stopTime)
        : m_startedAt(startedAt), m_end(startedAt + stopTime)
    {
    }

    // Whether a request that may take up to `maxDuration` is accepted at `now`. All requests are
    // accepted in the first half of the stop time: callers still use this node's address, and
    // nearly all requests complete well before the end.
    bool acceptsRequest(time_point now, duration maxDuration) const
    {
        if (now < m_startedAt + (m_end - m_startedAt) / 2)
            return true;
        return now + std::min(maxDuration, m_end - m_startedAt) <= m_end - response_margin;
    }

    // When the node stops accepting connections.
    time_point closeTime() const { return m_end - close_lead_time; }

    // When the process ends.
    time_point end() const { return m_end; }

private:
    static constexpr duration response_margin { 100 }; // for sending the response
    static constexpr duration close_lead_time { 400 };

    time_point m_startedAt;
    time_point m_end;
};

} // namespace gooseberrymoor
