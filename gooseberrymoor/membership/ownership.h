#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/membership/failure_detector.h"
#include "gooseberrymoor/membership/majority_lease.h"
#include "gooseberrymoor/membership/member.h"
#include "gooseberrymoor/membership/ownership_actions.h"
#include "gooseberrymoor/membership/ownership_timing.h"
#include "gooseberrymoor/membership/target_handover.h"
#include "gooseberrymoor/membership/target_ownership.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace gooseberrymoor {

class request_tracker;

// Decides which targets this node owns and may send to, and which views to propose. The argument
// why no two nodes ever run requests at one target stands in docs/DESIGN.md, "Ownership lease":
//
// - A view changes by compare-and-swap, by one member at a time, and only after a majority of its
//   members is known to have reached its epoch. So majorities of neighbouring views meet, and no
//   lease of an epoch before the one that is replaced can be renewed.
// - A member is removed only after a majority of the view has promised to renew its lease in this
//   epoch no more. So its lease ends at most `lease` after the removal.
// - A target is held only when all other members have released it, and the hold time has passed
//   since the last removal that may concern it.
//
// Plain state: an event and the present time go in, actions come out. Not thread-safe.
class ownership : public target_ownership
{
public:
    // `self.leaving` is ignored: a member owns nothing until `target_handover::gracePeriodEnd`.
    ownership(member self, ownership_timing timing, std::uint64_t seed);

    // Asks `work` before a target is released; it must outlive this.
    void setRequestTracker(const request_tracker &work) { m_work = &work; }

    // A heartbeat interval has passed.
    ownership_actions tick(time_point now);

    // What to ask `peer` now; due each heartbeat interval.
    ownership_actions heartbeatRequestsTo(const std::string &peer, time_point now) const;

    // `message` came in. Answers in the actions go to its sender.
    ownership_actions onMessage(const membership_message &message, time_point now);

    // Releases what was asked for while it ran and runs no more. To be called from time to time
    // while `hasPendingReleases`.
    ownership_actions retryPendingReleases();

    // Whether another member waits for a target at which something of this node may still run.
    bool hasPendingReleases() const;

    // The store, or a peer, showed `view`; older ones are ignored.
    ownership_actions onView(cell_view view, time_point now);

    // A read of the store sent at `sentAt` showed the view of `epoch`, 0 if there is none.
    ownership_actions onStoreRead(std::int64_t epoch, time_point sentAt, time_point now);

    // The proposal took effect as the view of `epoch`; 0 if it did not, or is not known to have.
    ownership_actions onProposalCompleted(const cell_view &proposed, std::int64_t epoch,
                                          time_point now);

    // The targets, each "service/name", and the availability zones out, that are configured now.
    void configure(std::set<std::string> targets, std::set<std::string> zonesOut);

    // This node stops: it becomes leaving, hands its targets over and takes none back.
    void beginStop() { m_stopping = true; }

    // Nothing of this node runs any more, and it starts nothing: it leaves the view.
    void beginLeave();

    bool isOwner(std::string_view target) const override;
    bool maySend(std::string_view target, time_point now) const override;

    // The newest view known.
    const cell_view &view() const { return m_view; }

    // This start of the node as it is, or wants to be, in the view.
    const member &self() const { return m_self; }

    // Whether the newest view lists this start of the node.
    bool isInView() const { return m_view.hasMember(m_self.id()); }

    // Until when the lease holds; `time_point::max()` for the only member of a view.
    time_point leaseExpiry() const { return m_lease.expiry(); }

    // How many targets this node owns but must not send to yet.
    std::size_t pendingTargetCount(time_point now) const { return m_handover.pendingCount(now); }

    // Members that are silent for too long.
    std::vector<std::string> suspects(time_point now) const;

private:
    using promisers = std::set<member_id>;

    bool installView(cell_view next, time_point now);
    void onViewDeleted(time_point now);
    void renewIncarnation();
    void addHeartbeatRequests(ownership_actions &actions, time_point now);
    void addPromiseRequests(ownership_actions &actions, time_point now);
    void answerLeaseRequest(const membership_message &request, ownership_actions &actions) const;
    void answerPromiseRequest(const membership_message &request, ownership_actions &actions,
                              time_point now);
    void answerReleaseRequest(const membership_message &request, ownership_actions &actions);
    bool tryRelease(const std::string &target);
    void handleLeaseReply(const membership_message &reply);
    void reconcileEpochs(const membership_message &message, ownership_actions &actions) const;
    membership_message makeMessage(membership_message_kind kind) const;
    membership_message makeReply(const membership_message &request,
                                 membership_message_kind kind) const;
    std::uint64_t replacedIncarnation() const;

    void propose(ownership_actions &actions, time_point now);
    std::optional<cell_view> nextView(time_point now);
    std::optional<cell_view> viewForJoining() const;
    std::optional<cell_view> ownLeavingChange(time_point now) const;
    std::optional<cell_view> suspectRemoval(time_point now) const;
    std::optional<cell_view> zoneLeavingChange(time_point now);
    bool hasStalePromise(time_point now) const;
    cell_view without(const member_id &id) const;
    bool majorityReachedEpoch() const;
    bool majorityPromised(const member_id &subject) const;
    bool hasPromised(const member &voter, const member_id &subject) const;
    bool isZoneOut(const member &candidate) const;
    duration randomUpTo(duration most);

    member m_self;
    ownership_timing m_timing;
    std::mt19937_64 m_random;
    const request_tracker *m_work = nullptr;
    cell_view m_view;
    std::int64_t m_deletedEpoch = 0; // views up to it are gone from the store
    majority_lease m_lease;
    target_handover m_handover;
    failure_detector m_failureDetector;
    std::map<member_id, time_point> m_givenPromises; // of this node in this epoch, when given
    std::map<member_id, promisers>
        m_receivedPromises; // promises of others to this node in this epoch
    std::map<member_id, membership_message> m_pendingReleases; // requests by who asked
    std::map<member_id, time_point> m_zoneOutSince;
    std::set<std::string> m_zonesOut;
    duration m_proposalDelay {}; // drawn anew in each epoch
    time_point m_nextProposalAt {};
    time_point m_lastTick {};
    time_point m_lastStoreRead {};
    bool m_proposalPending = false;
    bool m_wasInView = false;
    bool m_stopping = false;
    bool m_leaveRequested = false;
};

} // namespace gooseberrymoor
