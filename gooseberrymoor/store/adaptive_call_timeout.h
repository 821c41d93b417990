#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <algorithm>

namespace gooseberrymoor {

// Timeout of calls to a store, adapted to its latency: short by default, so that the end of an
// outage is noticed quickly, and longer while the store is slow. Performs no I/O. Not thread-safe.
class adaptive_call_timeout
{
public:
    // Starts at `minTimeout` and never exceeds `maxTimeout`.
    adaptive_call_timeout(duration minTimeout, duration maxTimeout)
        : m_minTimeout(minTimeout), m_maxTimeout(maxTimeout), m_timeout(minTimeout)
    {
    }

    // The timeout of the next call.
    duration time() const { return m_timeout; }

    // Records a call that was answered after `latency`.
    void onAnswered(duration latency)
    {
        m_timeout = std::clamp(latency * latency_multiplier, m_minTimeout, m_maxTimeout);
    }

    // Records a call that was not answered within `timeout`. Concurrent calls that time out
    // together double the timeout only once.
    void onTimedOut(duration timeout)
    {
        m_timeout = std::max(m_timeout, std::min(timeout * 2, m_maxTimeout));
    }

private:
    // The timeout is the latency of the last answer times this factor.
    static constexpr int latency_multiplier = 3;

    duration m_minTimeout;
    duration m_maxTimeout;
    duration m_timeout;
};

} // namespace gooseberrymoor
