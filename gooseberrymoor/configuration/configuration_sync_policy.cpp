#include "gooseberrymoor/configuration/configuration_sync_policy.h"

#include <xxhash.h>

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int max_backoff_doublings = 10;
constexpr int percent = 100;
constexpr duration min_watch_duration { 10 };
constexpr duration change_read_delay { 100 };

std::uint64_t rankOf(const std::string &name)
{
    return XXH64(name.data(), name.size(), 0);
}

} // namespace

configuration_sync_policy::configuration_sync_policy(std::string self, sync_timing timing,
                                                     std::uint32_t seed, time_point start)
    : m_self(std::move(self)), m_timing(timing), m_random(seed), m_rank(rankOf(m_self)),
      m_requestDeadline(start), m_lastContact(start), m_nextCall(start), m_nextSlowRead(start)
{
}

planned_store_action configuration_sync_policy::nextStoreAction(time_point now) const
{
    const bool reader = isReader(now);
    const time_point next = reader ? m_nextCall : m_nextSlowRead;
    if (now < next) // wakes periodically to check whether it has become a reader
        return { store_action::wait, std::min(next, now + m_timing.announce) };
    if (m_readDue || now >= m_nextSlowRead)
        return { store_action::read, now };
    return { store_action::watch, now + m_timing.watch };
}

void configuration_sync_policy::onRead(time_point now)
{
    m_readDue = false;
    m_failures = 0;
    m_nextSlowRead = now + jittered(m_timing.slowPoll);
    recordStoreContact(now);
}

void configuration_sync_policy::onWatch(bool changed, time_point began, time_point now)
{
    m_failures = 0;
    m_readDue = changed;
    if (changed)
        m_nextSlowRead = now; // makes the read due even if this node is no longer a reader
    // Prevents a busy loop when watches end immediately; delays that read as well.
    if (now - began < min_watch_duration)
        m_nextCall = m_nextSlowRead = now + jittered(changed ? change_read_delay : m_timing.poll);
    // A watch that ends without a change shows only that the store answered when it began.
    recordStoreContact(changed ? now : began);
}

void configuration_sync_policy::onStoreFailure(time_point now)
{
    m_readDue = true;
    m_nextCall = now + jittered(retryDelay());
    m_nextSlowRead = now + jittered(m_timing.slowPoll);
    ++m_failures;
}

void configuration_sync_policy::onActivated(std::int64_t revision)
{
    m_activeRevision = std::max(m_activeRevision, revision);
}

void configuration_sync_policy::onRejected(std::int64_t revision)
{
    m_rejectedRevision = std::max(m_rejectedRevision, revision);
}

peer_reply configuration_sync_policy::onAnnouncement(const std::string &peer, std::int64_t revision,
                                                     bool reachesStore, time_point now)
{
    recordPeerContact(peer, now);
    m_peers[peer].reachesStore = reachesStore;
    m_highestAnnouncedRevision = std::max(m_highestAnnouncedRevision, revision);
    if (revision < m_activeRevision)
        return peer_reply::announce;
    if (revision <= m_activeRevision || revision <= m_rejectedRevision || now < m_requestDeadline)
        return peer_reply::nothing;
    // One request at a time: no announcement causes another before the reply or the deadline.
    m_requestDeadline = now + m_timing.announce;
    return peer_reply::ask;
}

peer_reply configuration_sync_policy::onUpdateRequest(const std::string &peer,
                                                      std::int64_t revision, time_point now)
{
    recordPeerContact(peer, now);
    return revision < m_activeRevision ? peer_reply::answer : peer_reply::nothing;
}

void configuration_sync_policy::onUpdate(const std::string &peer, time_point now)
{
    recordPeerContact(peer, now);
    m_requestDeadline = now;
}

bool configuration_sync_policy::isReader(time_point now) const
{
    int higherRanked = 0;
    for (const auto &[name, peer] : m_peers) {
        const bool live = now - peer.lastContact <= livenessTimeout(m_timing);
        const bool hashesLower = std::pair(rankOf(name), name) < std::pair(m_rank, m_self);
        const bool hasBetterAccess = peer.reachesStore && !reachesStore();
        const bool hasWorseAccess = !peer.reachesStore && reachesStore();
        if (live && (hasBetterAccess || (hashesLower && !hasWorseAccess)))
            ++higherRanked;
    }
    return higherRanked < m_timing.readers;
}

bool configuration_sync_policy::isIsolated(time_point now) const
{
    return now - m_lastContact > m_timing.isolation;
}

bool configuration_sync_policy::isCurrent() const
{
    return m_hasContact && m_activeRevision > 0 && m_activeRevision >= m_highestAnnouncedRevision;
}

int configuration_sync_policy::livePeerCount(time_point now) const
{
    return static_cast<int>(std::ranges::count_if(m_peers, [&](const auto &each) {
        return now - each.second.lastContact <= livenessTimeout(m_timing);
    }));
}

duration configuration_sync_policy::jittered(duration max)
{
    const auto min = max.count() * (percent - m_timing.jitterPercent) / percent;
    return duration(std::uniform_int_distribution<duration::rep>(min, max.count())(m_random));
}

void configuration_sync_policy::recordPeerContact(const std::string &peer, time_point now)
{
    m_peers[peer].lastContact = now;
    m_lastContact = std::max(m_lastContact, now);
    m_hasContact = true;
    std::erase_if(m_peers, [&](const auto &each) {
        return now - each.second.lastContact > m_timing.isolation;
    });
}

void configuration_sync_policy::recordStoreContact(time_point when)
{
    m_lastContact = std::max(m_lastContact, when);
    m_hasContact = true;
}

duration configuration_sync_policy::retryDelay() const
{
    return std::min(m_timing.poll * (1 << std::min(m_failures, max_backoff_doublings)),
                    m_timing.watch);
}

} // namespace gooseberrymoor
