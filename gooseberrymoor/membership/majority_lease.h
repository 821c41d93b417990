#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace gooseberrymoor {

struct cell_view;

// The lease of one member. Until it expires, no other node may treat the member as removed. It is
// renewed by grants from a majority of the view, including the member itself, all in the same
// epoch. In a view of two members, a read of the store that shows the same epoch counts as one
// more vote, so that the lease of either can be renewed without the other.
// Holds state only, without I/O; not thread-safe.
class majority_lease
{
public:
    // A grant is valid for `length` from the time at which its request was sent.
    explicit majority_lease(duration length);

    // Switches to a view of another epoch. Grants from the previous epoch no longer count, but the
    // expiry that they gave remains.
    void onViewChange(const cell_view &next, time_point now);

    // Records that `peer` granted, in the epoch of the view, the request sent at `sentAt`.
    void onGrant(const std::string &peer, time_point sentAt);

    // Records that a read of the store sent at `sentAt` showed the epoch of the view.
    void onStoreRead(time_point sentAt);

    // Ends the lease, because the member is no longer in the view.
    void reset();

    // Returns whether the lease is valid at `now`.
    bool isValid(time_point now) const;

    // Returns when the lease expires; `time_point::max()` for the only member of a view.
    time_point expiry() const;

private:
    void updateExpiry();

    duration m_length;
    std::size_t m_memberCount = 0;
    std::map<std::string, time_point> m_grants; // by peer: when its newest granted request was sent
    time_point m_lastStoreRead {};
    time_point m_expiry {};
};

} // namespace gooseberrymoor
