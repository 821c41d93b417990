#include "gooseberrymoor/query/quantile_hedge_policy.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration first_delay { 50 }; // until enough latencies are known
constexpr duration shortest_delay { 2 };
constexpr int records_between_updates = 64;
constexpr double lowest_quantile = 0.9;

} // namespace

quantile_hedge_policy::quantile_hedge_policy(int slowestPercent)
    : m_quantile(std::max(1 - slowestPercent / 100.0, lowest_quantile)),
      m_hedges(slowestPercent > 0)
{
}

std::optional<duration> quantile_hedge_policy::delay(const std::string &service)
{
    if (!m_hedges)
        return std::nullopt;
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.delay == duration(0))
        return first_delay;
    return found->second.delay;
}

void quantile_hedge_policy::onEnded(const std::string &service, duration latency)
{
    service_state &state = m_services[service];
    state.latencies.record(latency);
    if (++state.sinceUpdate < records_between_updates)
        return;
    state.sinceUpdate = 0;
    state.delay = std::max(state.latencies.quantile(m_quantile), shortest_delay);
}

} // namespace gooseberrymoor
