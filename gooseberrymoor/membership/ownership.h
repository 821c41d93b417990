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

// Decides which targets this node owns and may send to, and which views to propose. It guarantees
// that no two nodes ever run requests at the same target; docs/DESIGN.md, "Ownership lease", has
// the full argument:
//
// - A view changes by compare-and-swap, by one member at a time, and only after a majority of its
//   members is known to have reached its epoch. So majorities of consecutive views intersect, and
//   no lease of an epoch before the one that is replaced can be renewed.
// - A member is removed only after a majority of the view has promised not to renew its lease
//   any more in this epoch. So its lease expires at most `lease` after the removal.
// - A node holds a target only when all other members have released it, and the grace period has
//   passed since the last removal that may concern it.
//
// A state machine without I/O: it takes an event and the current time, and returns actions. Not
// thread-safe.
class ownership : public target_ownership
{
public:
    // `self.leaving` is ignored: a new member joins with the flag set, so that it owns no targets
    // until `target_handover::gracePeriodEnd`.
    ownership(member self, ownership_timing timing, std::uint64_t seed);

    // Sets the tracker that is asked before a target is released. It must outlive this object.
    void setRequestTracker(const request_tracker &tracker) { m_requestTracker = &tracker; }

    // To be called each heartbeat interval.
    ownership_actions tick(time_point now);

    // Returns the requests to send to `peer`. To be called each heartbeat interval.
    ownership_actions heartbeatRequestsTo(const std::string &peer, time_point now) const;

    // Handles a message from a peer. The actions include the replies to its sender.
    ownership_actions onMessage(const membership_message &message, time_point now);

    // Releases the requested targets at which no request of this node runs any more. To be called
    // repeatedly while `hasPendingReleases`.
    ownership_actions retryPendingReleases();

    // Returns whether another member waits for a target at which a request of this node may still
    // run.
    bool hasPendingReleases() const;

    // Handles a view from the store or from a peer. Views that are not newer are ignored.
    ownership_actions onView(cell_view view, time_point now);

    // Handles a read of the store that was sent at `sentAt` and showed the view of `epoch`, or 0 if
    // there is no view.
    ownership_actions onStoreRead(std::int64_t epoch, time_point sentAt, time_point now);

    // Handles the result of a proposal: the epoch of the new view, or 0 if the proposal failed or
    // its result is unknown.
    ownership_actions onProposalCompleted(const cell_view &proposed, std::int64_t epoch,
                                          time_point now);

    // Sets the configured targets, each "service/name", and the availability zones that are out of
    // service.
    void configure(std::set<std::string> targets, std::set<std::string> zonesOut);

    // Begins a graceful stop: this node marks itself as leaving and hands over its targets for
    // good.
    void beginStop() { m_stopping = true; }

    // Leaves the view. No request of this node may run any more; it sends no new ones.
    void beginLeave();

    bool isOwner(std::string_view target) const override;
    bool maySend(std::string_view target, time_point now) const override;

    // Returns the newest known view.
    const cell_view &view() const { return m_view; }

    // Returns the identity and the addresses of this node, as listed in the view or to be listed.
    const member &self() const { return m_self; }

    // Returns whether the newest view contains this incarnation of the node.
    bool isInView() const { return m_view.hasMember(m_self.id()); }

    // Returns when the lease expires; `time_point::max()` for the only member of a view.
    time_point leaseExpiry() const { return m_lease.expiry(); }

    // Returns the number of targets that this node owns but must not send to yet.
    std::size_t pendingTargetCount(time_point now) const { return m_handover.pendingCount(now); }

    // Returns the names of the members that are suspected of having failed.
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
    duration randomUpTo(duration limit);

    member m_self;
    ownership_timing m_timing;
    std::mt19937_64 m_random;
    const request_tracker *m_requestTracker = nullptr;
    cell_view m_view;
    std::int64_t m_deletedEpoch = 0; // views up to this epoch were deleted from the store
    majority_lease m_lease;
    target_handover m_handover;
    failure_detector m_failureDetector;
    // By subject: when this node promised in this epoch, and which others promised to this node.
    std::map<member_id, time_point> m_givenPromises;
    std::map<member_id, promisers> m_receivedPromises;
    std::map<member_id, membership_message> m_pendingReleases; // release requests by requester
    std::map<member_id, time_point> m_zoneOutSince;
    std::set<std::string> m_zonesOut;
    duration m_proposalDelay {}; // random; chosen anew in each epoch
    time_point m_nextProposalAt {};
    time_point m_lastTick {};
    time_point m_lastStoreRead {};
    bool m_proposalPending = false;
    bool m_wasInView = false;
    bool m_stopping = false;
    bool m_leaveRequested = false;
};

} // namespace gooseberrymoor
