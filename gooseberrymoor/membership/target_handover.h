#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/membership/member_id.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrymoor {

struct cell_view;

// Whether anything of an earlier owner can still run at the targets that a member owns.
// A target is held once every other member of the view in which it became this member's has
// released it, and the hold time has passed since a member was last seen removed. It stays held
// until this member releases it. Plain state; not thread-safe.
class target_handover
{
public:
    // `hold` is how long what a removed member sent may run.
    target_handover(member_id self, duration hold);

    // The targets that are configured now, each "service/name".
    void setTargets(std::set<std::string> targets, const cell_view &view);

    // `next` follows `last`, perhaps with views between them that were never seen here.
    void onViewChange(const cell_view &last, const cell_view &next, time_point now);

    // Starts anew under another identity, which has released all.
    void restart(member_id self);

    // `peer`, which knew `epoch`, has released `targets`.
    void onReleased(const member_id &peer, std::int64_t epoch,
                    const std::vector<std::string> &targets);

    // Gives `target` up for its new owner.
    void release(std::string_view target);

    // Whether nothing of another member can run at `target`.
    bool isHeld(std::string_view target, time_point now) const;

    // The targets that the member called `peer` has still to release.
    std::vector<std::string> unreleasedBy(const std::string &peer) const;

    // How many owned targets are not held.
    std::size_t pendingCount(time_point now) const;

    // When a removal, or the first view, was last seen, plus the hold time.
    time_point gracePeriodEnd() const { return m_lastRemoval + m_gracePeriod; }

private:
    struct entry
    {
        std::int64_t since = 0; // epoch in which the target became this member's
        std::set<member_id> unreleased;
        time_point readyAt {};
        bool held = false;
    };

    void updateEntries(const cell_view &next, bool removal, time_point now);
    void addEntries(const cell_view &view);
    bool owns(const cell_view &view, const std::string &target) const;

    member_id m_self;
    duration m_gracePeriod;
    std::set<std::string> m_configured;
    std::map<std::string, entry, std::less<>> m_entries;
    time_point m_lastRemoval {};
};

} // namespace gooseberrymoor
