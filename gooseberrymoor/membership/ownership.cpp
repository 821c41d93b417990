#include "gooseberrymoor/membership/ownership.h"

#include "gooseberrymoor/membership/request_tracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gooseberrymoor {

namespace {

// After so many leases without a change of the view, a promise against a live member is undone.
constexpr int leases_until_promise_is_stuck = 2;
// Heartbeats that a member has to mark itself as leaving before others do it.
constexpr int heartbeats_until_marked = 2;
constexpr std::size_t members_with_store_voter = 2; // as in majority_lease

std::size_t majorityOf(std::size_t members)
{
    return members / 2 + 1;
}

} // namespace

ownership::ownership(member self, ownership_timing timing, std::uint64_t seed)
    : m_self(std::move(self)), m_timing(timing), m_random(seed), m_lease(timing.lease),
      m_handover(m_self.id(), timing.hold()), m_watch(timing)
{
}

ownership_actions ownership::tick(time_point now)
{
    ownership_actions actions;
    // A node that was stopped for a while has heard nobody.
    if (now - m_lastTick > 2 * m_timing.heartbeat)
        m_watch.pardon(now);
    m_lastTick = now;
    askForPromises(actions, now);
    propose(actions, now);
    return actions;
}

ownership_actions ownership::requestsTo(const std::string &peer, time_point now) const
{
    ownership_actions actions;
    membership_message request = messageOf(membership_message_kind::lease_request);
    request.sentAt = now;
    actions.messages.push_back({ peer, std::move(request) });
    membership_message release = messageOf(membership_message_kind::release_request);
    release.targets = m_handover.unreleasedBy(peer);
    if (!release.targets.empty())
        actions.messages.push_back({ peer, std::move(release) });
    return actions;
}

ownership_actions ownership::onMessage(const membership_message &message, time_point now)
{
    ownership_actions actions;
    if (message.replaced != 0)
        m_watch.onEnded({ message.sender.name, message.replaced });
    const bool forMe = message.recipient == m_self.incarnation;
    switch (message.kind) {
    case membership_message_kind::lease_request:
        answerLease(message, actions);
        break;
    case membership_message_kind::lease_reply:
        if (forMe)
            takeLease(message);
        compareEpochs(message, actions);
        break;
    case membership_message_kind::promise_request:
        answerPromise(message, actions, now);
        break;
    case membership_message_kind::promise_reply:
        if (forMe && message.granted && message.epoch == m_view.epoch)
            m_votes[message.subject].insert(message.sender);
        break;
    case membership_message_kind::release_request:
        answerRelease(message, actions);
        break;
    case membership_message_kind::release_reply:
        if (forMe)
            m_handover.onReleased(message.sender, message.epoch, message.targets);
        break;
    case membership_message_kind::view_update:
        return onView(message.view, now);
    }
    propose(actions, now);
    return actions;
}

ownership_actions ownership::releaseEnded()
{
    ownership_actions actions;
    const auto owed = std::exchange(m_owedReleases, {});
    for (const auto &[asker, request] : owed)
        answerRelease(request, actions);
    return actions;
}

bool ownership::owesReleases() const
{
    return std::ranges::any_of(
        m_owedReleases, [this](const auto &each) { return each.second.epoch <= m_view.epoch; });
}

ownership_actions ownership::onView(cell_view view, time_point now)
{
    ownership_actions actions;
    if (!adopt(std::move(view), now))
        return actions;
    actions = releaseEnded();
    sendRequests(actions, now);
    propose(actions, now);
    return actions;
}

ownership_actions ownership::onStoreRead(std::int64_t epoch, time_point sentAt, time_point now)
{
    ownership_actions actions;
    m_storeSeen = std::max(m_storeSeen, sentAt);
    if (epoch == 0 && m_view.epoch != 0)
        forgetView(now);
    else if (epoch == m_view.epoch && isInView())
        m_lease.onStoreRead(sentAt);
    propose(actions, now);
    return actions;
}

ownership_actions ownership::onProposalEnded(const cell_view &proposed, std::int64_t epoch,
                                             time_point now)
{
    m_proposing = false;
    m_nextProposal = now + randomUpTo(m_timing.heartbeat);
    if (epoch == 0) {
        ownership_actions actions;
        actions.readView = true;
        return actions;
    }
    cell_view next = proposed;
    next.epoch = epoch;
    m_nextProposal = now;
    ownership_actions requests = onView(std::move(next), now);
    ownership_actions actions;
    membership_message update = messageOf(membership_message_kind::view_update);
    update.view = m_view;
    for (const member &each : m_view.members) {
        if (each.name != m_self.name)
            actions.messages.push_back({ each.name, update });
    }
    // The others know the view before they are asked for anything under it.
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
    m_left = true;
}

bool ownership::isOwner(std::string_view target) const
{
    const member *owner = ownerOf(m_view, target);
    return owner && owner->id() == m_self.id();
}

bool ownership::maySend(std::string_view target, time_point now) const
{
    return !m_left && m_lease.holds(now) && isOwner(target) && m_handover.isHeld(target, now);
}

std::vector<std::string> ownership::suspects(time_point now) const
{
    std::vector<std::string> result;
    for (const member &each : m_view.members) {
        if (each.name != m_self.name && m_watch.isSuspect(each.id(), now))
            result.push_back(each.name);
    }
    return result;
}

bool ownership::adopt(cell_view next, time_point now)
{
    if (next.epoch <= std::max(m_view.epoch, m_deletedEpoch))
        return false;
    m_handover.adopt(m_view, next, now);
    m_view = std::move(next);
    m_watch.adopt(m_view, now);
    // No swap on an older epoch can succeed any more, so what was promised for one is void.
    m_promises.clear();
    m_votes.clear();
    m_proposalDelay = randomUpTo(2 * m_timing.heartbeat);
    if (isInView()) {
        m_wasListed = true;
        m_lease.adopt(m_view, now);
        return true;
    }
    m_lease.end();
    if (m_wasListed)
        takeNewIdentity();
    return true;
}

// Operators deleted the view: it is as if every member had been removed.
void ownership::forgetView(time_point now)
{
    m_deletedEpoch = std::max(m_deletedEpoch, m_view.epoch);
    const cell_view none;
    m_handover.adopt(none, none, now);
    m_view = none;
    m_watch.adopt(m_view, now);
    m_promises.clear();
    m_votes.clear();
    m_lease.end();
    if (m_wasListed)
        takeNewIdentity();
}

void ownership::takeNewIdentity()
{
    m_self.incarnation = m_random();
    m_wasListed = false;
    m_handover.restart(m_self.id());
}

void ownership::sendRequests(ownership_actions &actions, time_point now)
{
    for (const member &each : m_view.members) {
        if (each.name == m_self.name)
            continue;
        for (auto &request : requestsTo(each.name, now).messages)
            actions.messages.push_back(std::move(request));
    }
}

void ownership::askForPromises(ownership_actions &actions, time_point now)
{
    for (const member &subject : m_view.members) {
        const bool ownPast = subject.name == m_self.name && replacedIncarnation() != 0;
        const time_point since = m_watch.suspectSince(subject.id(), now);
        // No promise is asked for that a store in an outage would leave without its removal.
        const bool silent = isInView() && subject.id() != m_self.id() && since != time_point::max();
        actions.readView |= silent && m_storeSeen <= since;
        const bool suspect = silent && now - since >= m_proposalDelay && m_storeSeen > since;
        if (!ownPast && !suspect)
            continue;
        if (suspect)
            m_promises.try_emplace(subject.id(), now);
        membership_message request = messageOf(membership_message_kind::promise_request);
        request.subject = subject.id();
        for (const member &each : m_view.members) {
            if (each.name != m_self.name && each.id() != subject.id())
                actions.messages.push_back({ each.name, request });
        }
    }
}

void ownership::answerLease(const membership_message &request, ownership_actions &actions) const
{
    membership_message reply = answerTo(request, membership_message_kind::lease_reply);
    reply.sentAt = request.sentAt;
    reply.granted = request.epoch == m_view.epoch && isInView() && m_view.lists(request.sender)
        && !m_promises.contains(request.sender);
    actions.messages.push_back({ request.sender.name, std::move(reply) });
    compareEpochs(request, actions);
}

void ownership::answerPromise(const membership_message &request, ownership_actions &actions,
                              time_point now)
{
    membership_message reply = answerTo(request, membership_message_kind::promise_reply);
    reply.subject = request.subject;
    const bool replacedBySender = request.sender.name == request.subject.name
        && request.replaced == request.subject.incarnation;
    const bool sameEpoch = request.epoch == m_view.epoch && isInView();
    reply.granted = sameEpoch && m_view.lists(request.subject) && request.subject != m_self.id()
        && (m_promises.contains(request.subject) || replacedBySender
            || m_watch.isSuspect(request.subject, now));
    if (reply.granted)
        m_promises.try_emplace(request.subject, now);
    actions.messages.push_back({ request.sender.name, std::move(reply) });
}

void ownership::answerRelease(const membership_message &request, ownership_actions &actions)
{
    if (request.epoch > m_view.epoch) {
        m_owedReleases[request.sender] = request; // until this node knows the view too
        actions.readView = true;
        return;
    }
    if (!isInView() || !m_view.lists(request.sender))
        return;
    membership_message reply = answerTo(request, membership_message_kind::release_reply);
    membership_message owed = request;
    owed.targets.clear();
    for (const std::string &target : request.targets) {
        if (isOwner(target))
            continue;
        auto &list = tryRelease(target) ? reply.targets : owed.targets;
        list.push_back(target);
    }
    if (!reply.targets.empty())
        actions.messages.push_back({ request.sender.name, std::move(reply) });
    const member_id sender = request.sender; // `request` may be the one that is erased
    m_owedReleases.erase(sender);
    if (!owed.targets.empty())
        m_owedReleases.emplace(sender, std::move(owed));
}

bool ownership::tryRelease(const std::string &target)
{
    if (m_work && m_work->mayHaveRunningRequests(target))
        return false;
    m_handover.release(target);
    return true;
}

void ownership::takeLease(const membership_message &reply)
{
    m_watch.onAnswer(reply.sender, reply.epoch, reply.sentAt);
    if (reply.granted && reply.epoch == m_view.epoch && isInView() && m_view.lists(reply.sender))
        m_lease.onGrant(reply.sender.name, reply.sentAt);
}

// The one that knows the newer view gives it to the other, also while the store is down.
void ownership::compareEpochs(const membership_message &message, ownership_actions &actions) const
{
    if (message.epoch > m_view.epoch)
        actions.readView = true;
    if (message.epoch >= m_view.epoch)
        return;
    membership_message update = messageOf(membership_message_kind::view_update);
    update.view = m_view;
    actions.messages.push_back({ message.sender.name, std::move(update) });
}

membership_message ownership::messageOf(membership_message_kind kind) const
{
    membership_message message;
    message.kind = kind;
    message.sender = m_self.id();
    message.epoch = m_view.epoch;
    message.replaced = replacedIncarnation();
    return message;
}

membership_message ownership::answerTo(const membership_message &request,
                                       membership_message_kind kind) const
{
    membership_message message = messageOf(kind);
    message.recipient = request.sender.incarnation;
    return message;
}

// This process has the address of an earlier start of the node, so that one has ended.
std::uint64_t ownership::replacedIncarnation() const
{
    const member *listed = m_view.find(m_self.name);
    const bool replaced = listed && listed->incarnation != m_self.incarnation
        && listed->peerAddress == m_self.peerAddress;
    return replaced ? listed->incarnation : 0;
}

void ownership::propose(ownership_actions &actions, time_point now)
{
    if (m_proposing || now < m_nextProposal || !majorityReachedEpoch())
        return;
    actions.proposal = wantedView(now);
    m_proposing = actions.proposal.has_value();
}

// Adds or removes one member at most, so that majorities of the two views meet.
std::optional<cell_view> ownership::wantedView(time_point now)
{
    if (!isInView())
        return joiningView();
    if (m_left)
        return without(m_self.id());
    if (auto change = ownFlagChange(now))
        return change;
    if (auto change = suspectRemoval(now))
        return change;
    if (auto change = zoneDeparture(now))
        return change;
    return promiseIsStuck(now) ? std::optional(m_view) : std::nullopt;
}

std::optional<cell_view> ownership::joiningView() const
{
    if (m_stopping || m_storeSeen == time_point {})
        return std::nullopt;
    cell_view wanted = m_view;
    if (const member *past = m_view.find(m_self.name)) {
        if (!majorityPromised(past->id()))
            return std::nullopt;
        wanted = without(past->id());
        ++wanted.removals;
        return wanted;
    }
    wanted.put(m_self);
    wanted.members.at(static_cast<std::size_t>(wanted.find(m_self.name) - wanted.members.data()))
        .leaving
        = true;
    return wanted;
}

std::optional<cell_view> ownership::ownFlagChange(time_point now) const
{
    const bool mustLeave = m_stopping || isZoneOut(m_self);
    member listed = *m_view.find(m_self.name);
    const bool returns = listed.leaving && !mustLeave && now >= m_handover.holdEnds();
    const bool leaves = !listed.leaving && mustLeave;
    if (!returns && !leaves)
        return std::nullopt;
    listed.leaving = leaves;
    cell_view wanted = m_view;
    wanted.put(std::move(listed));
    return wanted;
}

std::optional<cell_view> ownership::suspectRemoval(time_point now) const
{
    for (const member &each : m_view.members) {
        if (each.id() == m_self.id() || !m_watch.isSuspect(each.id(), now)
            || !m_promises.contains(each.id()) || !majorityPromised(each.id()))
            continue;
        cell_view wanted = without(each.id());
        ++wanted.removals;
        return wanted;
    }
    return std::nullopt;
}

std::optional<cell_view> ownership::zoneDeparture(time_point now)
{
    cell_view wanted = m_view;
    std::erase_if(m_zoneOutSince, [this](const auto &each) { return !m_view.lists(each.first); });
    for (member &each : wanted.members) {
        if (each.leaving || !isZoneOut(each)) {
            m_zoneOutSince.erase(each.id());
            continue;
        }
        const auto [seen, isNew] = m_zoneOutSince.try_emplace(each.id(), now);
        const duration patience = heartbeats_until_marked * m_timing.heartbeat + m_proposalDelay;
        each.leaving = now - seen->second >= patience;
    }
    return wanted == m_view ? std::nullopt : std::optional(wanted);
}

// A promise whose removal never came is undone by a new epoch with the same members.
bool ownership::promiseIsStuck(time_point now) const
{
    return std::ranges::any_of(m_promises, [&](const auto &each) {
        return now - each.second > leases_until_promise_is_stuck * m_timing.lease
            && !m_watch.isSuspect(each.first, now);
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
        const bool ownPast = each.name == m_self.name && each.incarnation == replacedIncarnation();
        return each.id() == m_self.id() || ownPast || m_watch.hasReached(each.id(), m_view.epoch);
    });
    return static_cast<std::size_t>(reached) >= majorityOf(m_view.members.size());
}

// In a view of two, `subject` could renew its lease with the other member, which promised, or with
// the store, which shows another epoch after the swap.
bool ownership::majorityPromised(const member_id &subject) const
{
    const auto voted = std::ranges::count_if(
        m_view.members, [&](const member &each) { return hasVoted(each, subject); });
    const std::size_t members = m_view.members.size();
    const std::size_t needed = members == members_with_store_voter ? 1 : majorityOf(members);
    return static_cast<std::size_t>(voted) >= needed;
}

bool ownership::hasVoted(const member &voter, const member_id &subject) const
{
    const bool ownPast = voter.name == m_self.name && voter.incarnation == replacedIncarnation();
    if (ownPast || m_watch.hasEnded(voter.id()))
        return true; // what has ended renews nothing
    if (voter.id() == m_self.id())
        return m_promises.contains(subject);
    const auto found = m_votes.find(subject);
    return found != m_votes.end() && found->second.contains(voter.id());
}

bool ownership::isZoneOut(const member &candidate) const
{
    return m_zonesOut.contains(candidate.availabilityZone);
}

duration ownership::randomUpTo(duration most)
{
    std::uniform_int_distribution<duration::rep> spread(0, most.count());
    return duration(spread(m_random));
}

} // namespace gooseberrymoor
