#include "gooseberrymoor/replica/replica_backpressure.h"

#include "gooseberrymoor/replica/reply_signals.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr double max_backoff_jitter = 0.25; // of the delay that the target asked for

duration withJitter(duration delay, double jitter)
{
    const double extra = static_cast<double>(delay.count()) * max_backoff_jitter * jitter;
    return delay + duration(static_cast<duration::rep>(extra));
}

} // namespace

backpressure_change replica_backpressure::onReply(const reply_signals &signals, double jitter,
                                                  time_point now)
{
    backpressure_change change;
    if (signals.isLeaving && !m_isLeaving) {
        m_isLeaving = true;
        m_leavingSince = now;
        change.leavingStarted = true;
    }
    if (signals.retryAfter && *signals.retryAfter > duration(0)) {
        change.backoffStarted = !isBackingOff(now);
        m_backoffUntil = std::max(m_backoffUntil, now + withJitter(*signals.retryAfter, jitter));
        m_isProbing = true;
    } else if (!isBackingOff(now)) {
        m_isProbing = false;
    }
    return change;
}

bool replica_backpressure::mayReceive(unsigned outstanding, time_point now) const
{
    if (m_isLeaving || isBackingOff(now))
        return false;
    return !m_isProbing || outstanding == 0;
}

} // namespace gooseberrymoor
