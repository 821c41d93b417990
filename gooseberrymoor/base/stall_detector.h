#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// Detects that the process did not run for a while, e.g. because it was stopped or its VM was
// frozen, by the gap between regular ticks. What the process reads right after such a stall may
// have waited for as long as the stall lasted. Not thread-safe.
class stall_detector
{
public:
    explicit stall_detector(time_point now) : m_lastTick(now) { }

    // Records that the process runs. To be called at intervals well below the shortest stall.
    void onTick(time_point now);

    // How long a message that is read at `now` may have waited unread; zero without a stall.
    duration possibleReadDelay(time_point now) const;

private:
    time_point m_lastTick;
    time_point m_stallEnd {};
    duration m_stallLength { 0 };
};

} // namespace gooseberrymoor
