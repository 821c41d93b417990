#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// How a node follows its cell's configuration. Value type.
struct sync_timing
{
    int readers = 3; // live nodes of a cell that hold a watch on the store
    duration poll { 1000 }; // first wait after a failed call of the store
    duration slowPoll { 30'000 }; // between reads of a node that relies on its peers
    duration watch { 3000 }; // longest watch, and longest wait after failed calls
    duration call { 2000 }; // longest call of the store
    duration announce { 500 }; // between announcements to each peer
    duration isolation { 15'000 }; // without store and peers until no new work is taken
    int jitterPercent = 50; // by how much a wait may be shorter

    bool operator==(const sync_timing &) const = default;
};

// How long a peer counts as live without an announcement.
constexpr duration livenessTimeout(const sync_timing &timing)
{
    return timing.announce * 3;
}

// Longest time from the acceptance of a change, or from the end of an outage, until it is in force
// at every node that is linked to one that reaches the store: a watch that went silent, the call
// that finds it out, the wait after it, dead readers counted as live, and two hops of peers.
constexpr duration maxPropagationDelay(const sync_timing &timing)
{
    return timing.watch + timing.call + timing.watch + livenessTimeout(timing)
        + timing.announce * 4;
}

} // namespace gooseberrymoor
