#include "gooseberrymoor/configuration/configuration_sync_policy.h"

#include <xxhash.h>

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int most_doublings = 10;
constexpr int percent = 100;
constexpr duration shortest_watch { 10 };
constexpr duration change_pause { 100 };

std::uint64_t rankOf(const std::string &name)
{
    return XXH64(name.data(), name.size(), 0);
}

} // namespace

configuration_sync_policy::configuration_sync_policy(std::string self, sync_timing timing,
                                                     std::uint32_t seed, time_point start)
    : m_self(std::move(self)), m_timing(timing), m_random(seed), m_rank(rankOf(m_self)),
      m_askedUntil(start), m_heard(start), m_nextCall(start), m_nextSlowRead(start)
{
}

planned_store_action configuration_sync_policy::nextStoreAction(time_point now) const
{
    const bool reader = isReader(now);
    const time_point next = reader ? m_nextCall : m_nextSlowRead;
    if (now < next) // looks up now and then whether it has become a reader
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
    heardStore(now);
}

void configuration_sync_policy::onWatch(bool changed, time_point began, time_point now)
{
    m_failures = 0;
    m_readDue = changed;
    if (changed)
        m_nextSlowRead = now; // also if this node is no reader any more
    // A watch that ends at once is no reason to call again at once.
    if (now - began < shortest_watch)
        m_nextCall = m_nextSlowRead = now + jittered(changed ? change_pause : m_timing.poll);
    // A watch without a change was answered at its beginning only.
    heardStore(changed ? now : began);
}

void configuration_sync_policy::onStoreFailure(time_point now)
{
    m_readDue = true;
    m_nextCall = now + jittered(retryWait());
    m_nextSlowRead = now + jittered(m_timing.slowPoll);
    ++m_failures;
}

void configuration_sync_policy::onActivated(std::int64_t revision)
{
    m_activeRevision = std::max(m_activeRevision, revision);
}

void configuration_sync_policy::onRejected(std::int64_t revision)
{
    m_refused = std::max(m_refused, revision);
}

peer_reply configuration_sync_policy::onAnnouncement(const std::string &peer, std::int64_t revision,
                                                     bool reachesStore, time_point now)
{
    hear(peer, now);
    m_peers[peer].reachesStore = reachesStore;
    m_highestAnnounced = std::max(m_highestAnnounced, revision);
    if (revision < m_activeRevision)
        return peer_reply::announce;
    if (revision <= m_activeRevision || revision <= m_refused || now < m_askedUntil)
        return peer_reply::nothing;
    // One question at a time: the others that announce it wait for this answer.
    m_askedUntil = now + m_timing.announce;
    return peer_reply::ask;
}

peer_reply configuration_sync_policy::onUpdateRequest(const std::string &peer,
                                                      std::int64_t revision, time_point now)
{
    hear(peer, now);
    return revision < m_activeRevision ? peer_reply::answer : peer_reply::nothing;
}

void configuration_sync_policy::onUpdate(const std::string &peer, time_point now)
{
    hear(peer, now);
    m_askedUntil = now;
}

bool configuration_sync_policy::isReader(time_point now) const
{
    int before = 0;
    for (const auto &[name, peer] : m_peers) {
        const bool live = now - peer.heard <= livenessTimeout(m_timing);
        const bool ranked = std::pair(rankOf(name), name) < std::pair(m_rank, m_self);
        const bool better = peer.reachesStore && !reachesStore();
        const bool worse = !peer.reachesStore && reachesStore();
        if (live && (better || (ranked && !worse)))
            ++before;
    }
    return before < m_timing.readers;
}

bool configuration_sync_policy::isIsolated(time_point now) const
{
    return now - m_heard > m_timing.isolation;
}

bool configuration_sync_policy::isCurrent() const
{
    return m_heardAny && m_activeRevision > 0 && m_activeRevision >= m_highestAnnounced;
}

int configuration_sync_policy::livePeerCount(time_point now) const
{
    return static_cast<int>(std::ranges::count_if(m_peers, [&](const auto &each) {
        return now - each.second.heard <= livenessTimeout(m_timing);
    }));
}

duration configuration_sync_policy::jittered(duration longest)
{
    const auto shortest = longest.count() * (percent - m_timing.jitterPercent) / percent;
    return duration(
        std::uniform_int_distribution<duration::rep>(shortest, longest.count())(m_random));
}

void configuration_sync_policy::hear(const std::string &peer, time_point now)
{
    m_peers[peer].heard = now;
    m_heard = std::max(m_heard, now);
    m_heardAny = true;
    std::erase_if(m_peers,
                  [&](const auto &each) { return now - each.second.heard > m_timing.isolation; });
}

void configuration_sync_policy::heardStore(time_point when)
{
    m_heard = std::max(m_heard, when);
    m_heardAny = true;
}

duration configuration_sync_policy::retryWait() const
{
    return std::min(m_timing.poll * (1 << std::min(m_failures, most_doublings)), m_timing.watch);
}

} // namespace gooseberrymoor
