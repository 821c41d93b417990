#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace gooseberrymoor {

struct cell_view;

// The lease of one member: a time until which no other node may count it as gone. It is renewed
// by grants of a majority of the view, itself counted, all of one epoch. In a view of two members
// a read of the store that shows the same epoch counts like one more voter.
// Plain state; not thread-safe.
class majority_lease
{
public:
    // `length` is how long a grant lasts from when it was asked for.
    explicit majority_lease(duration length);

    // A view of another epoch is known now. Grants of the last epoch count no more, but the time
    // that they gave stands.
    void onViewChange(const cell_view &next, time_point now);

    // `peer` granted, in the epoch of the view, what was asked for at `sentAt`.
    void onGrant(const std::string &peer, time_point sentAt);

    // A read of the store sent at `sentAt` showed the epoch of the view.
    void onStoreRead(time_point sentAt);

    // This member is in the view no more.
    void reset();

    // Whether the lease holds.
    bool isValid(time_point now) const;

    // Until when the lease holds; `time_point::max()` for the only member of a view.
    time_point expiry() const;

private:
    void updateExpiry();

    duration m_length;
    std::size_t m_memberCount = 0;
    std::map<std::string, time_point> m_grants; // sending time of the newest granted request
    time_point m_lastStoreRead {};
    time_point m_expiry {};
};

} // namespace gooseberrymoor
