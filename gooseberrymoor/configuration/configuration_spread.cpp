#include "gooseberrymoor/configuration/configuration_spread.h"

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

configuration_spread::configuration_spread(std::string self, spread_timing timing,
                                           std::uint32_t seed, time_point start)
    : m_self(std::move(self)), m_timing(timing), m_random(seed), m_rank(rankOf(m_self)),
      m_askedUntil(start), m_heard(start), m_nextCall(start), m_nextSlowRead(start)
{
}

store_plan configuration_spread::nextDuty(time_point now) const
{
    const bool reader = isReader(now);
    const time_point next = reader ? m_nextCall : m_nextSlowRead;
    if (now < next) // looks up now and then whether it has become a reader
        return { store_duty::wait, std::min(next, now + m_timing.announce) };
    if (m_readDue || now >= m_nextSlowRead)
        return { store_duty::read, now };
    return { store_duty::watch, now + m_timing.watch };
}

void configuration_spread::onRead(time_point now)
{
    m_readDue = false;
    m_failures = 0;
    m_nextSlowRead = now + jittered(m_timing.slowPoll);
    heardStore(now);
}

void configuration_spread::onWatch(bool changed, time_point began, time_point now)
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

void configuration_spread::onStoreFailure(time_point now)
{
    m_readDue = true;
    m_nextCall = now + jittered(retryWait());
    m_nextSlowRead = now + jittered(m_timing.slowPoll);
    ++m_failures;
}

void configuration_spread::onInForce(std::int64_t revision)
{
    m_inForce = std::max(m_inForce, revision);
}

void configuration_spread::onRefused(std::int64_t revision)
{
    m_refused = std::max(m_refused, revision);
}

peer_step configuration_spread::onAnnouncement(const std::string &peer, std::int64_t revision,
                                               bool reachesStore, time_point now)
{
    hear(peer, now);
    m_peers[peer].reachesStore = reachesStore;
    m_highestAnnounced = std::max(m_highestAnnounced, revision);
    if (revision < m_inForce)
        return peer_step::announce;
    if (revision <= m_inForce || revision <= m_refused || now < m_askedUntil)
        return peer_step::nothing;
    // One question at a time: the others that announce it wait for this answer.
    m_askedUntil = now + m_timing.announce;
    return peer_step::ask;
}

peer_step configuration_spread::onAsk(const std::string &peer, std::int64_t revision,
                                      time_point now)
{
    hear(peer, now);
    return revision < m_inForce ? peer_step::answer : peer_step::nothing;
}

void configuration_spread::onUpdate(const std::string &peer, time_point now)
{
    hear(peer, now);
    m_askedUntil = now;
}

bool configuration_spread::isReader(time_point now) const
{
    int before = 0;
    for (const auto &[name, peer] : m_peers) {
        const bool live = now - peer.heard <= livenessOf(m_timing);
        const bool ranked = std::pair(rankOf(name), name) < std::pair(m_rank, m_self);
        const bool better = peer.reachesStore && !reachesStore();
        const bool worse = !peer.reachesStore && reachesStore();
        if (live && (better || (ranked && !worse)))
            ++before;
    }
    return before < m_timing.readers;
}

bool configuration_spread::isIsolated(time_point now) const
{
    return now - m_heard > m_timing.isolation;
}

bool configuration_spread::isCurrent() const
{
    return m_heardAny && m_inForce > 0 && m_inForce >= m_highestAnnounced;
}

int configuration_spread::livePeers(time_point now) const
{
    return static_cast<int>(std::ranges::count_if(m_peers, [&](const auto &each) {
        return now - each.second.heard <= livenessOf(m_timing);
    }));
}

duration configuration_spread::jittered(duration longest)
{
    const auto shortest = longest.count() * (percent - m_timing.jitterPercent) / percent;
    return duration(
        std::uniform_int_distribution<duration::rep>(shortest, longest.count())(m_random));
}

void configuration_spread::hear(const std::string &peer, time_point now)
{
    m_peers[peer].heard = now;
    m_heard = std::max(m_heard, now);
    m_heardAny = true;
    std::erase_if(m_peers,
                  [&](const auto &each) { return now - each.second.heard > m_timing.isolation; });
}

void configuration_spread::heardStore(time_point when)
{
    m_heard = std::max(m_heard, when);
    m_heardAny = true;
}

duration configuration_spread::retryWait() const
{
    return std::min(m_timing.poll * (1 << std::min(m_failures, most_doublings)), m_timing.watch);
}

} // namespace gooseberrymoor
