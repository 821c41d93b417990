#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <vector>

namespace gooseberrymoor {

// Keeps the connections of one target within its limit, as a sum: those for leaf requests, the one
// for control, and closed ones that the target may still hold open. Not thread-safe.
class connection_budget
{
public:
    // `most` is the target's limit.
    explicit connection_budget(int most) : m_most(most) { }

    // Puts another limit in force; what is open stays counted.
    void setLimit(int most) { m_most = most; }

    // Whether one more connection for leaf requests may be opened. One is kept for control.
    bool mayOpen(time_point now) const;

    // Whether the connection for control may be opened.
    bool mayOpenControl(time_point now) const;

    // Whether fewer should be open.
    bool isExceeded(time_point now) const { return counted(now) > m_most; }

    // A connection is opened, or being opened.
    void onOpened() { ++m_open; }
    void onControlOpened() { m_isControlOpen = true; }

    // It was closed; the target has closed its end by `surelyBy`.
    void onClosed(time_point surelyBy, time_point now);
    void onControlClosed(time_point surelyBy, time_point now);

    // Connections for leaf requests, being opened or open.
    int open() const { return m_open; }
    // Closed ones that the target may still hold.
    int closing(time_point now) const;
    // All that the target may hold.
    int counted(time_point now) const;

    // When the next closed one is surely closed; `time_point::max()` if there is none.
    time_point nextReleaseTime(time_point now) const;

private:
    bool hasControl() const { return m_most > 1; }
    void keepCounted(time_point surelyBy, time_point now);

    int m_most;
    int m_open = 0;
    bool m_isControlOpen = false;
    std::vector<time_point> m_closing; // until when each may be open at the target
};

} // namespace gooseberrymoor
