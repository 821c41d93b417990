#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

struct reply_signals;

// What a reply changed in the `replica_backpressure` of its target. Value type.
struct backpressure_change
{
    bool leavingStarted = false;
    bool backoffStarted = false;
};

// What one target asked this node for in its replies: no more requests because it is leaving, or
// none for a while because it is overloaded. A leaving target stays so until it starts anew. After
// a backoff the target is probed with a single request until it accepts one. Pure state without
// clock or I/O. Not thread-safe.
class replica_backpressure
{
public:
    // Records what a reply asked for. `jitter` in [0, 1] prolongs a backoff by up to a fixed
    // fraction, so that the nodes do not all return at once.
    backpressure_change onReply(const reply_signals &signals, double jitter, time_point now);

    // Whether the target said that it is leaving.
    bool isLeaving() const { return m_isLeaving; }

    // When the target first said that it is leaving; meaningless unless `isLeaving`.
    time_point leavingSince() const { return m_leavingSince; }

    // Whether the target wants no requests at `now`.
    bool isBackingOff(time_point now) const { return now < m_backoffUntil; }

    // End of the last backoff.
    time_point backoffUntil() const { return m_backoffUntil; }

    // Whether a request may be planned for the target, which has `outstanding` requests.
    bool mayReceive(unsigned outstanding, time_point now) const;

    // Whether the target ever asked for anything.
    bool isSet() const { return m_isLeaving || m_backoffUntil != time_point(); }

private:
    bool m_isLeaving = false;
    bool m_isProbing = false; // it has accepted no request since its last backoff
    time_point m_leavingSince {};
    time_point m_backoffUntil {};
};

} // namespace gooseberrymoor
