#include "gooseberrymoor/query/quantile_hedge_policy.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration default_delay { 50 }; // until the first update of a service's delay
constexpr duration min_delay { 2 };
constexpr int records_between_updates = 64;
constexpr double min_quantile = 0.9;

} // namespace

quantile_hedge_policy::quantile_hedge_policy(int slowestPercent)
    : m_quantile(std::max(1 - slowestPercent / 100.0, min_quantile)), m_enabled(slowestPercent > 0)
{
}

std::optional<duration> quantile_hedge_policy::delay(const std::string &service)
{
    if (!m_enabled)
        return std::nullopt;
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.delay == duration(0))
        return default_delay;
    return found->second.delay;
}

void quantile_hedge_policy::onEnded(const std::string &service, duration latency)
{
    service_state &state = m_services[service];
    state.latencies.record(latency);
    if (++state.recordsSinceUpdate < records_between_updates)
        return;
    state.recordsSinceUpdate = 0;
    state.delay = std::max(state.latencies.quantile(m_quantile), min_delay);
}

} // namespace gooseberrymoor
