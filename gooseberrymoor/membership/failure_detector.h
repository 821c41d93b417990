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

// What a node knows of the other members of its view: when each last answered, which epoch it is
// known to have known, and which members have ended. Plain state; not thread-safe.
class failure_detector
{
public:
    explicit failure_detector(ownership_timing timing);

    // `next` is the view now; members that are new in it count as heard at `now`.
    void onViewChange(const cell_view &next, time_point now);

    // `sender` answered a request sent at `sentAt`; it knew `epoch`.
    void onReply(const member_id &sender, std::int64_t epoch, time_point sentAt);

    // `ended` runs no more: a later start of that node has its address.
    void onTerminated(const member_id &ended);

    // This node did not run for a while: silence until `now` says nothing of the others.
    void restartTimeouts(time_point now);

    // Since when the member has been silent for too long; `time_point::max()` if it has not.
    time_point suspectedSince(const member_id &id, time_point now) const;

    // Whether the member is silent for too long.
    bool isSuspected(const member_id &id, time_point now) const;

    // Whether the member will never again act on an epoch before `epoch`.
    bool hasReachedEpoch(const member_id &id, std::int64_t epoch) const;

    // Whether the member is known to run no more.
    bool isTerminated(const member_id &id) const { return m_terminated.contains(id); }

private:
    struct entry
    {
        time_point heard {};
        std::int64_t epoch = 0;
    };

    ownership_timing m_timing;
    std::map<member_id, entry> m_entries;
    std::set<member_id> m_terminated;
};

} // namespace gooseberrymoor
