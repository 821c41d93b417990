#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// Timing of how a node follows its cell's configuration. Value type.
struct sync_timing
{
    int readers = 3; // live nodes of a cell that watch the store
    // Initial retry delay after a failed store call, and pause after a watch that ended at once
    // without a change.
    duration poll { 1000 };
    duration slowPoll { 30'000 }; // interval between reads of a node that relies on its peers
    duration watch { 3000 }; // timeout of a watch, and maximum retry delay
    duration call { 2000 }; // timeout of a store call
    duration announce { 500 }; // interval between announcements to each peer
    duration isolation { 15'000 }; // time without store and peers until new requests are rejected
    int jitterPercent = 50; // maximum reduction of a delay

    bool operator==(const sync_timing &) const = default;
};

// How long a peer counts as live after its last message.
constexpr duration livenessTimeout(const sync_timing &timing)
{
    return timing.announce * 3;
}

// Upper bound on the time from the acceptance of a change, or from the end of an outage, until the
// change is active at every node that is linked to one that reaches the store. Its terms are a
// watch that went silent, the call that detects this, the maximum retry delay (equal to the timeout
// of a watch), the time for which dead readers count as live, and two hops between peers.
constexpr duration maxPropagationDelay(const sync_timing &timing)
{
    return timing.watch + timing.call + timing.watch + livenessTimeout(timing)
        + timing.announce * 4;
}

} // namespace gooseberrymoor
