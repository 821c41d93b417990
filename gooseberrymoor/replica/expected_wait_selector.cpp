#include "gooseberrymoor/replica/expected_wait_selector.h"

#include "gooseberrymoor/replica/cold_target_limiter.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"
#include "gooseberrymoor/replica/typical_latency.h"

#include <algorithm>
#include <limits>

namespace gooseberrymoor {

namespace {

constexpr double other_zone_cost = 2.5; // in typical latencies
constexpr double set_up_cost_ms = 10; // of a connection that is not held open
constexpr double failure_cost_ms = 150; // of a request that has to be sent again
constexpr double overdue_factor = 3; // times the typical latency
constexpr double overdue_slack_ms = 8;
constexpr double overdue_penalty_ms = 400; // longer than a pause of a target
constexpr duration load_report_age { 150 }; // until a report says nothing any more
constexpr double suspect_penalty_ms = 1500;

double toMs(duration value)
{
    return static_cast<double>(value.count());
}

} // namespace

expected_wait_selector::expected_wait_selector(const replica_set &replicas,
                                               const replica_subset &subset,
                                               cold_target_limiter &cold, std::string ownZone)
    : m_replicas(replicas), m_subset(subset), m_cold(cold), m_ownZone(std::move(ownZone))
{
}

std::shared_ptr<known_replica> expected_wait_selector::choose(const std::string &service,
                                                              const std::set<std::string> &excluded,
                                                              time_point now)
{
    const double typical = baselineLatencyMs(m_replicas, service);
    std::shared_ptr<known_replica> best;
    double bestWait = std::numeric_limits<double>::max();
    for (const auto &each : m_replicas.of(service)) {
        if (!m_replicas.isEligible(*each) || excluded.contains(each->entry.id))
            continue;
        const double wait = expectedWaitMs(*each, typical, now);
        if (wait < bestWait && m_cold.isEligible(*each, now)) {
            best = each;
            bestWait = wait;
        }
    }
    if (best)
        m_cold.onSent(*best, now);
    return best;
}

double expected_wait_selector::expectedWaitMs(const known_replica &target, double typicalMs,
                                              time_point now) const
{
    const replica_health &health = target.health;
    const double slots = std::max(1U, target.entry.slots);
    const double queued
        = health.outstanding() + health.reportedQueueLength(now, load_report_age).value_or(0);
    double wait = health.latencyMs(typicalMs, now) * (1 + queued / slots);
    // Beyond the connections, requests wait for one of those under way.
    const connection_allocation share = m_subset.shareOf(target);
    const unsigned ahead = health.outstanding() / share.connections;
    wait += health.latencyMs(typicalMs, now) * ahead;
    if (!share.isHeld)
        wait += set_up_cost_ms;
    if (target.entry.availabilityZone != m_ownZone)
        wait += other_zone_cost * typicalMs;
    wait += failure_cost_ms * health.failureRate(now);
    if (toMs(health.oldestRequestAge(now)) > overdue_factor * typicalMs + overdue_slack_ms)
        wait += overdue_penalty_ms;
    if (health.isSuspect(now))
        wait += suspect_penalty_ms;
    return wait;
}

} // namespace gooseberrymoor
