#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <optional>

namespace gooseberrymoor {

// What one node knows about when the store served calls, from its own calls and from the updates
// of its peers. Tells an outage of the store from a failure of one node's path to it: while the
// path of one node fails, the store goes on serving the others.
// Performs no I/O and reads no clock: the caller passes the time. Not thread-safe.
class store_availability
{
public:
    // The shortest time without any served read that counts as an outage of the store. If the
    // reader's path fails, another node reads the store well within this time; leases of living
    // owners expire only after longer outages.
    static constexpr duration min_outage_duration { 2000 };

    // Records that the store has served a read of this node or of a peer. Returns whether an outage
    // of the store has ended thereby: nobody was served for `min_outage_duration` or longer.
    bool onServed(time_point now);

    // Records that a call of this node failed. The cause may be this node's path alone.
    void onCallFailed(time_point now);

    // Records that the last outage that a peer knows of was at `outage`. It counts only if it was
    // before the first read that this node knows of.
    void onOutageReported(time_point outage);

    // The end of the last outage of the store; nothing if none is known.
    std::optional<time_point> lastOutage() const { return m_lastOutage; }

    // When the store last may have been out of service: the latest outage or failed call of this
    // node; nothing if there was none.
    std::optional<time_point> lastSuspectedOutage() const;

    // Time since the last outage of the store; 24 hours if none is known.
    duration healthyFor(time_point now) const;

    // Whether the store has served a read within the time that a working reader takes at most
    // between two of its reads.
    bool hasServedRecently(time_point now) const;

private:
    std::optional<time_point> m_firstServed;
    std::optional<time_point> m_lastServed;
    std::optional<time_point> m_lastFailure;
    std::optional<time_point> m_lastOutage;
};

} // namespace gooseberrymoor
