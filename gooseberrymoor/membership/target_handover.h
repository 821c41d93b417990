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

// Tracks which of the targets that a member owns may still run requests of earlier owners.
// The member holds a target once every other member of the view in which it became the owner has
// released the target, and the grace period has passed since it last saw a member removed. It then
// holds the target until it releases it, whatever the view. Holds state only, without I/O; not
// thread-safe.
class target_handover
{
public:
    // `gracePeriod` is how long requests of a removed member may still run.
    target_handover(member_id self, duration gracePeriod);

    // Sets the configured targets, each "service/name".
    void setTargets(std::set<std::string> targets, const cell_view &view);

    // Switches from view `last` to `next`. This node may have missed views in between.
    void onViewChange(const cell_view &last, const cell_view &next, time_point now);

    // Changes to a new identity of this node, which holds no targets.
    void restart(member_id self);

    // Records that `peer`, which had reached `epoch`, has released `targets`.
    void onReleased(const member_id &peer, std::int64_t epoch,
                    const std::vector<std::string> &targets);

    // Releases `target` to its new owner.
    void release(std::string_view target);

    // Returns whether this member holds `target`: no request of another member can run there.
    bool isHeld(std::string_view target, time_point now) const;

    // Returns the targets that the member named `peer` has yet to release.
    std::vector<std::string> unreleasedBy(const std::string &peer) const;

    // Returns the number of owned targets that are not held yet.
    std::size_t pendingCount(time_point now) const;

    // Returns the end of the grace period after the last view that was the first one or showed a
    // removal.
    time_point gracePeriodEnd() const { return m_lastRemoval + m_gracePeriod; }

private:
    struct target_state
    {
        std::int64_t ownedSince = 0; // epoch in which this member became the owner
        std::set<member_id> unreleased; // members that have yet to release the target
        time_point readyAt {}; // end of the grace period that applies to the target
        bool held = false;
    };

    void updateTargets(const cell_view &next, bool hasRemoval, time_point now);
    void addOwnedTargets(const cell_view &view);
    bool ownsIn(const cell_view &view, const std::string &target) const;

    member_id m_self;
    duration m_gracePeriod;
    std::set<std::string> m_configuredTargets;
    std::map<std::string, target_state, std::less<>> m_targets;
    time_point m_lastRemoval {};
};

} // namespace gooseberrymoor
