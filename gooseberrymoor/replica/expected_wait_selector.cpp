#include "gooseberrymoor/replica/expected_wait_selector.h"

#include "gooseberrymoor/replica/baseline_latency.h"
#include "gooseberrymoor/replica/cold_target_limiter.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"

#include <algorithm>
#include <limits>

namespace gooseberrymoor {

namespace {

constexpr double other_zone_cost_factor = 2.5; // times the baseline latency
constexpr double connect_cost_ms = 10; // of opening a connection
constexpr double failure_cost_ms = 150; // of retrying a failed request
constexpr double overdue_factor = 3; // times the baseline latency
constexpr double overdue_slack_ms = 8;
constexpr double overdue_penalty_ms = 400; // longer than targets usually pause without responding
constexpr duration max_load_report_age { 150 };
constexpr double suspect_penalty_ms = 1500;

double toMs(duration value)
{
    return static_cast<double>(value.count());
}

} // namespace

expected_wait_selector::expected_wait_selector(const replica_set &replicas,
                                               const replica_subset &subset,
                                               cold_target_limiter &coldLimiter,
                                               std::string ownZone)
    : m_replicas(replicas), m_subset(subset), m_coldLimiter(coldLimiter),
      m_ownZone(std::move(ownZone))
{
}

std::shared_ptr<known_replica> expected_wait_selector::choose(const std::string &service,
                                                              const std::set<std::string> &excluded,
                                                              time_point now)
{
    const double baseline = baselineLatencyMs(m_replicas, service);
    std::shared_ptr<known_replica> best;
    double bestWait = std::numeric_limits<double>::max();
    for (const auto &each : m_replicas.of(service)) {
        if (!m_replicas.mayReceive(*each, now) || excluded.contains(each->entry.id))
            continue;
        const double wait = expectedWaitMs(*each, baseline, now);
        if (wait < bestWait && m_coldLimiter.maySendNow(*each, now)) {
            best = each;
            bestWait = wait;
        }
    }
    if (best)
        m_coldLimiter.onSent(*best, now);
    return best;
}

time_point expected_wait_selector::availableAt(const std::string &service, time_point now) const
{
    time_point earliest = time_point::max();
    for (const auto &each : m_replicas.of(service)) {
        if (m_replicas.isEligible(*each))
            earliest = std::min(earliest, std::max(now, each->backpressure.backoffUntil()));
    }
    return earliest;
}

double expected_wait_selector::expectedWaitMs(const known_replica &target, double baselineMs,
                                              time_point now) const
{
    const replica_health &health = target.health;
    const double slots = std::max(1U, target.entry.slots);
    const double queued
        = health.outstanding() + health.reportedQueueLength(now, max_load_report_age).value_or(0);
    double wait = health.latencyMs(baselineMs, now) * (1 + queued / slots);
    // Each connection carries one request at a time, so further requests queue behind them.
    const connection_allocation allocation = m_subset.allocationFor(target);
    const unsigned requestsAhead = health.outstanding() / allocation.connections;
    wait += health.latencyMs(baselineMs, now) * requestsAhead;
    if (!allocation.isHeld)
        wait += connect_cost_ms;
    if (target.entry.availabilityZone != m_ownZone)
        wait += other_zone_cost_factor * baselineMs;
    wait += failure_cost_ms * health.failureRate(now);
    if (toMs(health.oldestRequestAge(now)) > overdue_factor * baselineMs + overdue_slack_ms)
        wait += overdue_penalty_ms;
    if (health.isSuspect(now))
        wait += suspect_penalty_ms;
    return wait;
}

} // namespace gooseberrymoor
