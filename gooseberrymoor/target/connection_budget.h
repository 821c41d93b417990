#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <vector>

namespace gooseberrymoor {

// Limits the number of connections to one target: the sum of the connections for leaf requests, the
// control connection, and closed connections that the target may still hold open. Not thread-safe.
class connection_budget
{
public:
    // The target accepts at most `limit` connections from its owner.
    explicit connection_budget(int limit) : m_limit(limit) { }

    // Changes the limit. Connections that are already open stay counted.
    void setLimit(int limit) { m_limit = limit; }

    // Whether another connection for leaf requests may be opened. If the limit is greater than one,
    // one connection is reserved for control.
    bool mayOpen(time_point now) const;

    // Whether the control connection may be opened.
    bool mayOpenControl(time_point now) const;

    // Whether there are more connections than the limit allows.
    bool isExceeded(time_point now) const { return totalCount(now) > m_limit; }

    // Records that a connection is being opened.
    void onOpened() { ++m_openCount; }
    void onControlOpened() { m_isControlOpen = true; }

    // Records that a connection was closed. The target closes its end by `closedBy` at the latest.
    void onClosed(time_point closedBy, time_point now);
    void onControlClosed(time_point closedBy, time_point now);

    // Number of connections for leaf requests that are open or being opened.
    int openCount() const { return m_openCount; }
    // Number of closed connections that the target may still hold open.
    int closingCount(time_point now) const;
    // Number of all connections that the target may hold open.
    int totalCount(time_point now) const;

    // Earliest time at which a closed connection is no longer counted; `time_point::max()` if there
    // is none.
    time_point nextReleaseTime(time_point now) const;

private:
    bool isControlReserved() const { return m_limit > 1; }
    void addClosing(time_point closedBy, time_point now);

    int m_limit;
    int m_openCount = 0;
    bool m_isControlOpen = false;
    std::vector<time_point> m_closing; // time until which the target may hold each open
};

} // namespace gooseberrymoor
