#include "gooseberrymoor/forward/load_shedder.h"

#include "gooseberrymoor/replica/baseline_latency.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace gooseberrymoor {

namespace {

constexpr double top_priority_wait_fraction = 0.35; // of the target latency
// Applied once for each higher priority that routes to the same targets have.
constexpr double lower_priority_factor = 0.4;
constexpr double full_shedding_ratio = 2; // times the allowed wait: all requests are refused
constexpr duration max_report_age { 400 };

std::vector<std::string> servicesOf(const route &route)
{
    std::vector<std::string> services = route.shards;
    for (const weighted_service &each : route.split)
        services.push_back(each.service);
    return services;
}

// Expected queueing time of a new request at the least busy target of `service`; nullopt if no
// target has reported its load recently.
std::optional<double> waitMsAt(const replica_set &replicas, const std::string &service,
                               time_point now)
{
    std::optional<double> minQueued;
    for (const auto &each : replicas.of(service)) {
        if (!replicas.isEligible(*each) || each->backpressure.isBackingOff(now))
            continue;
        const auto waiting = each->health.reportedQueueLength(now, max_report_age);
        if (!waiting)
            continue;
        const double queuedPerSlot
            = static_cast<double>(*waiting) / std::max(1U, each->entry.slots);
        minQueued = std::min(minQueued.value_or(queuedPerSlot), queuedPerSlot);
    }
    if (minQueued)
        *minQueued *= baselineLatencyMs(replicas, service);
    return minQueued;
}

} // namespace

load_shedder::load_shedder(const replica_set &replicas, std::uint32_t seed)
    : m_replicas(replicas), m_random(seed)
{
}

void load_shedder::configure(const routing_configuration &configuration)
{
    m_latenciesByService.clear();
    m_allowedMs.clear();
    for (const route &each : configuration.routes) {
        for (const std::string &service : servicesOf(each)) {
            latencies_by_priority &latencies = m_latenciesByService[service];
            const auto [known, isNew] = latencies.try_emplace(each.priority, each.targetLatency);
            known->second = std::min(known->second, each.targetLatency);
        }
    }
}

shedding_decision load_shedder::decide(const route &route, time_point now)
{
    shedding_decision decision;
    decision.waitMs = waitMs(route, now);
    decision.allowedMs = allowedMs(route);
    const double excess = decision.waitMs / decision.allowedMs - 1;
    std::uniform_real_distribution<double> draw(0, full_shedding_ratio - 1);
    decision.admitted = excess <= 0 || excess < draw(m_random);
    return decision;
}

// The allowed queueing time of a route is at most that of the routes with a higher priority to the
// same targets, so that requests with a lower priority are refused first.
double load_shedder::allowedMs(const route &route)
{
    const auto found = m_allowedMs.find(route.name);
    if (found != m_allowedMs.end())
        return found->second;
    latencies_by_priority shared { { route.priority, route.targetLatency } };
    for (const std::string &service : servicesOf(route)) {
        for (const auto &[priority, latency] : m_latenciesByService[service]) {
            if (priority > route.priority)
                continue;
            const auto known = shared.try_emplace(priority, latency).first;
            known->second = std::min(known->second, latency);
        }
    }
    duration shortest = route.targetLatency;
    for (const auto &[priority, latency] : shared)
        shortest = std::min(shortest, latency);
    const double higherPriorities = static_cast<double>(shared.size()) - 1;
    const double share
        = top_priority_wait_fraction * std::pow(lower_priority_factor, higherPriorities);
    const double allowed = std::max(1.0, share * static_cast<double>(shortest.count()));
    m_allowedMs[route.name] = allowed;
    return allowed;
}

double load_shedder::waitMs(const route &route, time_point now) const
{
    const std::vector<std::string> services = servicesOf(route);
    std::vector<double> waits;
    for (const std::string &service : services) {
        if (const auto wait = waitMsAt(m_replicas, service, now))
            waits.push_back(*wait);
    }
    if (waits.empty() || 2 * waits.size() < services.size())
        return 0; // too few reports to refuse requests
    const auto median = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 2);
    std::nth_element(waits.begin(), median, waits.end());
    return *median;
}

} // namespace gooseberrymoor
