#include "gooseberrymoor/membership/ownership.h"

#include "gooseberrymoor/membership/request_tracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gooseberrymoor {

namespace {

// Lease durations after which a promise about a live member is revoked if its removal has not
// followed.
constexpr int stale_promise_leases = 2;
// Heartbeat intervals that a member whose zone is out of service has to mark itself as leaving
// before other members do it.
constexpr int mark_leaving_heartbeats = 2;
constexpr std::size_t store_voter_view_size = 2; // as in majority_lease.cpp

std::size_t majorityOf(std::size_t members)
{
    return members / 2 + 1;
}

} // namespace

ownership::ownership(member self, ownership_timing timing, std::uint64_t seed)
    : m_self(std::move(self)), m_timing(timing), m_random(seed), m_lease(timing.lease),
      m_handover(m_self.id(), timing.gracePeriod()), m_failureDetector(timing)
{
}

ownership_actions ownership::tick(time_point now)
{
    ownership_actions actions;
    // If this process was suspended, it could not receive the replies of the others.
    if (now - m_lastTick > 2 * m_timing.heartbeat)
        m_failureDetector.restartTimeouts(now);
    m_lastTick = now;
    addPromiseRequests(actions, now);
    propose(actions, now);
    return actions;
}

ownership_actions ownership::heartbeatRequestsTo(const std::string &peer, time_point now) const
{
    ownership_actions actions;
    membership_message request = makeMessage(membership_message_kind::lease_request);
    request.sentAt = now;
    actions.messages.push_back({ peer, std::move(request) });
    membership_message release = makeMessage(membership_message_kind::release_request);
    release.targets = m_handover.unreleasedBy(peer);
    if (!release.targets.empty())
        actions.messages.push_back({ peer, std::move(release) });
    return actions;
}

ownership_actions ownership::onMessage(const membership_message &message, time_point now)
{
    ownership_actions actions;
    if (message.replaced != 0)
        m_failureDetector.onTerminated({ message.sender.name, message.replaced });
    const bool isForThisProcess = message.recipient == m_self.incarnation;
    switch (message.kind) {
    case membership_message_kind::lease_request:
        answerLeaseRequest(message, actions);
        break;
    case membership_message_kind::lease_reply:
        if (isForThisProcess)
            handleLeaseReply(message);
        reconcileEpochs(message, actions);
        break;
    case membership_message_kind::promise_request:
        answerPromiseRequest(message, actions, now);
        break;
    case membership_message_kind::promise_reply:
        if (isForThisProcess && message.granted && message.epoch == m_view.epoch)
            m_receivedPromises[message.subject].insert(message.sender);
        break;
    case membership_message_kind::release_request:
        answerReleaseRequest(message, actions);
        break;
    case membership_message_kind::release_reply:
        if (isForThisProcess)
            m_handover.onReleased(message.sender, message.epoch, message.targets);
        break;
    case membership_message_kind::view_update:
        return onView(message.view, now);
    }
    propose(actions, now);
    return actions;
}

ownership_actions ownership::retryPendingReleases()
{
    ownership_actions actions;
    const auto pending = std::exchange(m_pendingReleases, {});
    for (const auto &[requester, request] : pending)
        answerReleaseRequest(request, actions);
    return actions;
}

bool ownership::hasPendingReleases() const
{
    return std::ranges::any_of(
        m_pendingReleases, [this](const auto &each) { return each.second.epoch <= m_view.epoch; });
}

ownership_actions ownership::onView(cell_view view, time_point now)
{
    ownership_actions actions;
    if (!installView(std::move(view), now))
        return actions;
    actions = retryPendingReleases();
    addHeartbeatRequests(actions, now);
    propose(actions, now);
    return actions;
}

ownership_actions ownership::onStoreRead(std::int64_t epoch, time_point sentAt, time_point now)
{
    ownership_actions actions;
    m_lastStoreRead = std::max(m_lastStoreRead, sentAt);
    if (epoch == 0 && m_view.epoch != 0)
        onViewDeleted(now);
    else if (epoch == m_view.epoch && isInView())
        m_lease.onStoreRead(sentAt);
    propose(actions, now);
    return actions;
}

ownership_actions ownership::onProposalCompleted(const cell_view &proposed, std::int64_t epoch,
                                                 time_point now)
{
    m_proposalPending = false;
    m_nextProposalAt = now + randomUpTo(m_timing.heartbeat);
    if (epoch == 0) {
        ownership_actions actions;
        actions.readView = true;
        return actions;
    }
    cell_view next = proposed;
    next.epoch = epoch;
    m_nextProposalAt = now;
    ownership_actions requests = onView(std::move(next), now);
    ownership_actions actions;
    membership_message update = makeMessage(membership_message_kind::view_update);
    update.view = m_view;
    for (const member &each : m_view.members) {
        if (each.name != m_self.name)
            actions.messages.push_back({ each.name, update });
    }
    // The others must receive the view before requests that are made under it.
    std::ranges::move(requests.messages, std::back_inserter(actions.messages));
    actions.proposal = std::move(requests.proposal);
    return actions;
}

void ownership::configure(std::set<std::string> targets, std::set<std::string> zonesOut)
{
    m_zonesOut = std::move(zonesOut);
    m_handover.setTargets(std::move(targets), m_view);
}

void ownership::beginLeave()
{
    m_stopping = true;
    m_leaveRequested = true;
}

bool ownership::isOwner(std::string_view target) const
{
    const member *owner = ownerOf(m_view, target);
    return owner && owner->id() == m_self.id();
}

bool ownership::maySend(std::string_view target, time_point now) const
{
    return !m_leaveRequested && m_lease.isValid(now) && isOwner(target)
        && m_handover.isHeld(target, now);
}

std::vector<std::string> ownership::suspects(time_point now) const
{
    std::vector<std::string> result;
    for (const member &each : m_view.members) {
        if (each.name != m_self.name && m_failureDetector.isSuspected(each.id(), now))
            result.push_back(each.name);
    }
    return result;
}

bool ownership::installView(cell_view next, time_point now)
{
    if (next.epoch <= std::max(m_view.epoch, m_deletedEpoch))
        return false;
    m_handover.onViewChange(m_view, next, now);
    m_view = std::move(next);
    m_failureDetector.onViewChange(m_view, now);
    // No compare-and-swap on an older epoch can succeed any more, so promises for one are void.
    m_givenPromises.clear();
    m_receivedPromises.clear();
    m_proposalDelay = randomUpTo(2 * m_timing.heartbeat);
    if (isInView()) {
        m_wasInView = true;
        m_lease.onViewChange(m_view, now);
        return true;
    }
    m_lease.reset();
    if (m_wasInView)
        renewIncarnation();
    return true;
}

// Operators deleted the view from the store. This is handled like the removal of all members.
void ownership::onViewDeleted(time_point now)
{
    m_deletedEpoch = std::max(m_deletedEpoch, m_view.epoch);
    const cell_view none;
    m_handover.onViewChange(none, none, now);
    m_view = none;
    m_failureDetector.onViewChange(m_view, now);
    m_givenPromises.clear();
    m_receivedPromises.clear();
    m_lease.reset();
    if (m_wasInView)
        renewIncarnation();
}

void ownership::renewIncarnation()
{
    m_self.incarnation = m_random();
    m_wasInView = false;
    m_handover.restart(m_self.id());
}

void ownership::addHeartbeatRequests(ownership_actions &actions, time_point now)
{
    for (const member &each : m_view.members) {
        if (each.name == m_self.name)
            continue;
        for (auto &request : heartbeatRequestsTo(each.name, now).messages)
            actions.messages.push_back(std::move(request));
    }
}

void ownership::addPromiseRequests(ownership_actions &actions, time_point now)
{
    for (const member &subject : m_view.members) {
        const bool isPredecessor = subject.name == m_self.name && replacedIncarnation() != 0;
        const time_point suspectedSince = m_failureDetector.suspectedSince(subject.id(), now);
        // Promises are requested only after a read of the store that was sent after the member
        // became suspected: in an outage of the store the removal could not follow, and the
        // promises would keep the member from renewing its lease.
        const bool isSuspected
            = isInView() && subject.id() != m_self.id() && suspectedSince != time_point::max();
        actions.readView |= isSuspected && m_lastStoreRead <= suspectedSince;
        const bool isRemovalDue = isSuspected && now - suspectedSince >= m_proposalDelay
            && m_lastStoreRead > suspectedSince;
        if (!isPredecessor && !isRemovalDue)
            continue;
        if (isRemovalDue)
            m_givenPromises.try_emplace(subject.id(), now);
        membership_message request = makeMessage(membership_message_kind::promise_request);
        request.subject = subject.id();
        for (const member &each : m_view.members) {
            if (each.name != m_self.name && each.id() != subject.id())
                actions.messages.push_back({ each.name, request });
        }
    }
}

void ownership::answerLeaseRequest(const membership_message &request,
                                   ownership_actions &actions) const
{
    membership_message reply = makeReply(request, membership_message_kind::lease_reply);
    reply.sentAt = request.sentAt;
    reply.granted = request.epoch == m_view.epoch && isInView() && m_view.hasMember(request.sender)
        && !m_givenPromises.contains(request.sender);
    actions.messages.push_back({ request.sender.name, std::move(reply) });
    reconcileEpochs(request, actions);
}

void ownership::answerPromiseRequest(const membership_message &request, ownership_actions &actions,
                                     time_point now)
{
    membership_message reply = makeReply(request, membership_message_kind::promise_reply);
    reply.subject = request.subject;
    const bool replacedBySender = request.sender.name == request.subject.name
        && request.replaced == request.subject.incarnation;
    const bool sameEpoch = request.epoch == m_view.epoch && isInView();
    reply.granted = sameEpoch && m_view.hasMember(request.subject) && request.subject != m_self.id()
        && (m_givenPromises.contains(request.subject) || replacedBySender
            || m_failureDetector.isSuspected(request.subject, now));
    if (reply.granted)
        m_givenPromises.try_emplace(request.subject, now);
    actions.messages.push_back({ request.sender.name, std::move(reply) });
}

void ownership::answerReleaseRequest(const membership_message &request, ownership_actions &actions)
{
    if (request.epoch > m_view.epoch) {
        m_pendingReleases[request.sender] = request; // until this node has that view
        actions.readView = true;
        return;
    }
    if (!isInView() || !m_view.hasMember(request.sender))
        return;
    membership_message reply = makeReply(request, membership_message_kind::release_reply);
    membership_message pending = request;
    pending.targets.clear();
    for (const std::string &target : request.targets) {
        if (isOwner(target))
            continue;
        auto &list = tryRelease(target) ? reply.targets : pending.targets;
        list.push_back(target);
    }
    if (!reply.targets.empty())
        actions.messages.push_back({ request.sender.name, std::move(reply) });
    const member_id sender = request.sender; // copied: `request` may be the element erased next
    m_pendingReleases.erase(sender);
    if (!pending.targets.empty())
        m_pendingReleases.emplace(sender, std::move(pending));
}

bool ownership::tryRelease(const std::string &target)
{
    if (m_requestTracker && m_requestTracker->mayHaveRunningRequests(target))
        return false;
    m_handover.release(target);
    return true;
}

void ownership::handleLeaseReply(const membership_message &reply)
{
    m_failureDetector.onReply(reply.sender, reply.epoch, reply.sentAt);
    if (reply.granted && reply.epoch == m_view.epoch && isInView()
        && m_view.hasMember(reply.sender))
        m_lease.onGrant(reply.sender.name, reply.sentAt);
}

// The node with the newer view sends it to the other, so that views spread even while the store is
// down.
void ownership::reconcileEpochs(const membership_message &message, ownership_actions &actions) const
{
    if (message.epoch > m_view.epoch)
        actions.readView = true;
    if (message.epoch >= m_view.epoch)
        return;
    membership_message update = makeMessage(membership_message_kind::view_update);
    update.view = m_view;
    actions.messages.push_back({ message.sender.name, std::move(update) });
}

membership_message ownership::makeMessage(membership_message_kind kind) const
{
    membership_message message;
    message.kind = kind;
    message.sender = m_self.id();
    message.epoch = m_view.epoch;
    message.replaced = replacedIncarnation();
    return message;
}

membership_message ownership::makeReply(const membership_message &request,
                                        membership_message_kind kind) const
{
    membership_message message = makeMessage(kind);
    message.recipient = request.sender.incarnation;
    return message;
}

// Returns the incarnation that the view lists for this node if it has terminated, else 0. An
// earlier incarnation has terminated if this process listens on its peer address.
std::uint64_t ownership::replacedIncarnation() const
{
    const member *listed = m_view.find(m_self.name);
    const bool replaced = listed && listed->incarnation != m_self.incarnation
        && listed->peerAddress == m_self.peerAddress;
    return replaced ? listed->incarnation : 0;
}

void ownership::propose(ownership_actions &actions, time_point now)
{
    if (m_proposalPending || now < m_nextProposalAt || !majorityReachedEpoch())
        return;
    actions.proposal = nextView(now);
    m_proposalPending = actions.proposal.has_value();
}

// Adds or removes at most one member, so that majorities of the two views intersect.
std::optional<cell_view> ownership::nextView(time_point now)
{
    if (!isInView())
        return viewForJoining();
    if (m_leaveRequested)
        return without(m_self.id());
    if (auto change = ownLeavingChange(now))
        return change;
    if (auto change = suspectRemoval(now))
        return change;
    if (auto change = zoneLeavingChange(now))
        return change;
    // A view with the same members starts a new epoch, which revokes stale promises.
    return hasStalePromise(now) ? std::optional(m_view) : std::nullopt;
}

std::optional<cell_view> ownership::viewForJoining() const
{
    if (m_stopping || m_lastStoreRead == time_point {})
        return std::nullopt;
    cell_view wanted = m_view;
    if (const member *predecessor = m_view.find(m_self.name)) {
        if (!majorityPromised(predecessor->id()))
            return std::nullopt;
        wanted = without(predecessor->id());
        ++wanted.removals;
        return wanted;
    }
    wanted.put(m_self);
    wanted.members.at(static_cast<std::size_t>(wanted.find(m_self.name) - wanted.members.data()))
        .leaving
        = true;
    return wanted;
}

std::optional<cell_view> ownership::ownLeavingChange(time_point now) const
{
    const bool mustBeLeaving = m_stopping || isZoneOut(m_self);
    member listed = *m_view.find(m_self.name);
    const bool clearsFlag = listed.leaving && !mustBeLeaving && now >= m_handover.gracePeriodEnd();
    const bool setsFlag = !listed.leaving && mustBeLeaving;
    if (!clearsFlag && !setsFlag)
        return std::nullopt;
    listed.leaving = setsFlag;
    cell_view wanted = m_view;
    wanted.put(std::move(listed));
    return wanted;
}

std::optional<cell_view> ownership::suspectRemoval(time_point now) const
{
    for (const member &each : m_view.members) {
        if (each.id() == m_self.id() || !m_failureDetector.isSuspected(each.id(), now)
            || !m_givenPromises.contains(each.id()) || !majorityPromised(each.id()))
            continue;
        cell_view wanted = without(each.id());
        ++wanted.removals;
        return wanted;
    }
    return std::nullopt;
}

std::optional<cell_view> ownership::zoneLeavingChange(time_point now)
{
    cell_view wanted = m_view;
    std::erase_if(m_zoneOutSince,
                  [this](const auto &each) { return !m_view.hasMember(each.first); });
    for (member &each : wanted.members) {
        if (each.leaving || !isZoneOut(each)) {
            m_zoneOutSince.erase(each.id());
            continue;
        }
        const auto [seen, isNew] = m_zoneOutSince.try_emplace(each.id(), now);
        const duration delay = mark_leaving_heartbeats * m_timing.heartbeat + m_proposalDelay;
        each.leaving = now - seen->second >= delay;
    }
    return wanted == m_view ? std::nullopt : std::optional(wanted);
}

// Whether this node has an old promise about a member that is no longer suspected.
bool ownership::hasStalePromise(time_point now) const
{
    return std::ranges::any_of(m_givenPromises, [&](const auto &each) {
        return now - each.second > stale_promise_leases * m_timing.lease
            && !m_failureDetector.isSuspected(each.first, now);
    });
}

cell_view ownership::without(const member_id &id) const
{
    cell_view wanted = m_view;
    wanted.remove(id.name);
    return wanted;
}

bool ownership::majorityReachedEpoch() const
{
    if (m_view.members.empty())
        return true;
    const auto reached = std::ranges::count_if(m_view.members, [this](const member &each) {
        const bool isPredecessor
            = each.name == m_self.name && each.incarnation == replacedIncarnation();
        return each.id() == m_self.id() || isPredecessor
            || m_failureDetector.hasReachedEpoch(each.id(), m_view.epoch);
    });
    return static_cast<std::size_t>(reached) >= majorityOf(m_view.members.size());
}

// In a view of two, one promise is enough: `subject` could renew its lease only with the other
// member, which has promised not to, or with the store, which shows another epoch after the swap.
bool ownership::majorityPromised(const member_id &subject) const
{
    const auto promised = std::ranges::count_if(
        m_view.members, [&](const member &each) { return hasPromised(each, subject); });
    const std::size_t members = m_view.members.size();
    const std::size_t needed = members == store_voter_view_size ? 1 : majorityOf(members);
    return static_cast<std::size_t>(promised) >= needed;
}

bool ownership::hasPromised(const member &voter, const member_id &subject) const
{
    const bool isPredecessor
        = voter.name == m_self.name && voter.incarnation == replacedIncarnation();
    if (isPredecessor || m_failureDetector.isTerminated(voter.id()))
        return true; // a terminated process grants no leases
    if (voter.id() == m_self.id())
        return m_givenPromises.contains(subject);
    const auto found = m_receivedPromises.find(subject);
    return found != m_receivedPromises.end() && found->second.contains(voter.id());
}

bool ownership::isZoneOut(const member &candidate) const
{
    return m_zonesOut.contains(candidate.availabilityZone);
}

duration ownership::randomUpTo(duration limit)
{
    std::uniform_int_distribution<duration::rep> distribution(0, limit.count());
    return duration(distribution(m_random));
}

} // namespace gooseberrymoor
