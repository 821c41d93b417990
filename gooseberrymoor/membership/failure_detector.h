#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/membership/member_id.h"
#include "gooseberrymoor/membership/ownership_timing.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace gooseberrymoor {

struct cell_view;

// Tracks the members of the view: when each last replied, the highest epoch that each is known to
// have reached, and which incarnations have terminated. Holds state only, without I/O; not
// thread-safe.
class failure_detector
{
public:
    explicit failure_detector(ownership_timing timing);

    // Switches to the view `next`. New members count as heard from at `now`.
    void onViewChange(const cell_view &next, time_point now);

    // Records that `sender`, which had reached `epoch`, replied to a request sent at `sentAt`.
    void onReply(const member_id &sender, std::int64_t epoch, time_point sentAt);

    // Records that the process of `terminated` no longer runs: a later incarnation of the node
    // uses its address.
    void onTerminated(const member_id &terminated);

    // Counts all members as heard from at `now`. Called after this process was suspended: it could
    // not have received their replies.
    void restartTimeouts(time_point now);

    // Returns when the member became suspected of having failed; `time_point::max()` if it is not
    // suspected.
    time_point suspectedSince(const member_id &id, time_point now) const;

    // Returns whether the member is suspected: it has not replied for the suspicion timeout.
    bool isSuspected(const member_id &id, time_point now) const;

    // Returns whether the member has reached `epoch` or has terminated, so that it never again acts
    // on an earlier epoch.
    bool hasReachedEpoch(const member_id &id, std::int64_t epoch) const;

    // Returns whether the member is known to have terminated.
    bool isTerminated(const member_id &id) const { return m_terminated.contains(id); }

private:
    struct member_state
    {
        time_point lastHeard {}; // when the newest request that it replied to was sent
        std::int64_t epoch = 0;
    };

    ownership_timing m_timing;
    std::map<member_id, member_state> m_members;
    std::set<member_id> m_terminated;
};

} // namespace gooseberrymoor
