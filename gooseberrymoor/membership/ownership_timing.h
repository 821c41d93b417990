#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// The time bounds that the ownership protocol relies on. All nodes of a cell must use the same
// values. Value type.
struct ownership_timing
{
    duration heartbeat {}; // interval of the lease requests to a peer
    duration lease {}; // how long a lease is valid without renewal
    duration maxRequestDuration {}; // how long a request may run at a target

    // How much two clocks may drift apart over one lease.
    static constexpr int clock_drift_permille = 10;
    // Number of heartbeat intervals without a reply after which a member is suspected.
    static constexpr int missed_heartbeats = 4;

    // Returns the time after the removal of a member within which a request that it sent may still
    // run: its lease, then the longest request, both lengthened by the clock drift.
    duration gracePeriod() const
    {
        const duration exact = lease + maxRequestDuration;
        return exact + exact * clock_drift_permille / 1000 + duration(1);
    }

    // Returns how long a member may go without a reply before it is suspected.
    duration suspicionTimeout() const { return heartbeat * missed_heartbeats; }
};

} // namespace gooseberrymoor
