#include "gooseberrymoor/replica/cold_target_limiter.h"

#include "gooseberrymoor/base/rendezvous.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration rate_window { 1100 }; // one second plus the jitter of arrival times
constexpr double max_concurrent_senders = 2; // nodes whose views differ during a change

} // namespace

cold_target_limiter::cold_target_limiter(std::string ownName, cold_rate_tolerance tolerance)
    : m_ownName(std::move(ownName)), m_tolerance(tolerance)
{
}

void cold_target_limiter::configure(const routing_configuration &configuration)
{
    m_ratePerSecond.clear();
    for (const auto &[name, profile] : configuration.services) {
        if (profile.coldRequestsPerSecond > 0)
            m_ratePerSecond[name] = profile.coldRequestsPerSecond;
    }
}

bool cold_target_limiter::isEligible(const known_replica &target, time_point now) const
{
    const auto rate = m_ratePerSecond.find(target.entry.service);
    if (rate == m_ratePerSecond.end() || now >= target.coldUntil)
        return true;
    if (!isDesignatedSender(target.entry.id))
        return false;
    const double bound = rate->second * m_tolerance.factor + m_tolerance.slack;
    const double allowed = std::min(rate->second, bound / max_concurrent_senders);
    const auto sent = m_sent.find(target.entry.id);
    if (sent == m_sent.end())
        return allowed >= 1;
    const auto recent = std::count_if(sent->second.begin(), sent->second.end(),
                                      [now](time_point each) { return now - each < rate_window; });
    return static_cast<double>(recent) + 1 <= allowed;
}

void cold_target_limiter::onSent(const known_replica &target, time_point now)
{
    if (now >= target.coldUntil) {
        m_sent.erase(target.entry.id);
        return;
    }
    if (!m_ratePerSecond.contains(target.entry.service))
        return;
    auto &sent = m_sent[target.entry.id];
    sent.push_back(now);
    while (now - sent.front() >= rate_window)
        sent.pop_front();
}

bool cold_target_limiter::isDesignatedSender(const std::string &id) const
{
    const std::uint64_t own = rendezvousWeight(m_ownName, id);
    return std::none_of(m_nodes.begin(), m_nodes.end(),
                        [&](const std::string &each) { return rendezvousWeight(each, id) > own; });
}

} // namespace gooseberrymoor
