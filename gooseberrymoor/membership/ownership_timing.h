#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// The times that ownership is built on; the same at every node of a cell. Value type.
struct ownership_timing
{
    duration heartbeat {}; // between two lease requests to a peer
    duration lease {}; // how long a lease lasts without renewal
    duration maxRequestDuration {}; // most time that a request may run at a target

    // By how much two clocks may differ over one lease.
    static constexpr int clock_drift_permille = 10;
    // Heartbeats without an answer after which a member is suspected.
    static constexpr int missed_heartbeats = 4;

    // How long after the removal of a member nothing that it sent can run any more.
    duration gracePeriod() const
    {
        const duration exact = lease + maxRequestDuration;
        return exact + exact * clock_drift_permille / 1000 + duration(1);
    }

    // How long a member does not answer before it is suspected.
    duration suspicionTimeout() const { return heartbeat * missed_heartbeats; }
};

} // namespace gooseberrymoor
