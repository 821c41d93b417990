#include "gooseberrymoor/forward/load_shedder.h"

#include "gooseberrymoor/replica/baseline_latency.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace gooseberrymoor {

namespace {

constexpr double most_urgent_share = 0.35; // of the target latency, spent on waiting
constexpr double less_urgent_factor = 0.4; // for each more urgent kind at the same targets
constexpr double none_admitted_at = 2; // times the wait at which refusing begins
constexpr duration report_age { 400 }; // older reports don't count

std::vector<std::string> servicesOf(const route &route)
{
    std::vector<std::string> services = route.shards;
    for (const weighted_service &each : route.split)
        services.push_back(each.service);
    return services;
}

// How long a new request would wait at the least busy target of `service`; nothing if no target
// has reported lately.
std::optional<double> waitMsAt(const replica_set &replicas, const std::string &service,
                               time_point now)
{
    std::optional<double> least;
    for (const auto &each : replicas.of(service)) {
        if (!replicas.isEligible(*each))
            continue;
        const auto waiting = each->health.reportedQueueLength(now, report_age);
        if (!waiting)
            continue;
        const double rounds = static_cast<double>(*waiting) / std::max(1U, each->entry.slots);
        least = std::min(least.value_or(rounds), rounds);
    }
    if (least)
        *least *= baselineLatencyMs(replicas, service);
    return least;
}

} // namespace

load_shedder::load_shedder(const replica_set &replicas, std::uint32_t seed)
    : m_replicas(replicas), m_random(seed)
{
}

void load_shedder::configure(const routing_configuration &configuration)
{
    m_byService.clear();
    m_allowed.clear();
    for (const route &each : configuration.routes) {
        for (const std::string &service : servicesOf(each)) {
            latencies_by_priority &latencies = m_byService[service];
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
    std::uniform_real_distribution<double> draw(0, none_admitted_at - 1);
    decision.admitted = excess <= 0 || excess < draw(m_random);
    return decision;
}

// A less urgent route may never wait where a more urgent one to the same targets is refused.
double load_shedder::allowedMs(const route &route)
{
    const auto found = m_allowed.find(route.name);
    if (found != m_allowed.end())
        return found->second;
    latencies_by_priority shared { { route.priority, route.targetLatency } };
    for (const std::string &service : servicesOf(route)) {
        for (const auto &[priority, latency] : m_byService[service]) {
            if (priority > route.priority)
                continue;
            const auto known = shared.try_emplace(priority, latency).first;
            known->second = std::min(known->second, latency);
        }
    }
    duration shortest = route.targetLatency;
    for (const auto &[priority, latency] : shared)
        shortest = std::min(shortest, latency);
    const double moreUrgent = static_cast<double>(shared.size()) - 1;
    const double share = most_urgent_share * std::pow(less_urgent_factor, moreUrgent);
    const double allowed = std::max(1.0, share * static_cast<double>(shortest.count()));
    m_allowed[route.name] = allowed;
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
        return 0; // too little is known to refuse anybody
    const auto middle = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 2);
    std::nth_element(waits.begin(), middle, waits.end());
    return *middle;
}

} // namespace gooseberrymoor
