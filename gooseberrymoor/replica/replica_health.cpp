#include "gooseberrymoor/replica/replica_health.h"

#include <algorithm>
#include <cmath>

namespace gooseberrymoor {

namespace {

constexpr double newest_weight = 0.2; // of one latency in the average
constexpr double fade_half_life_ms = 3000;
constexpr double newest_outcome_weight = 0.15; // of one outcome in the share of failures
constexpr double failure_half_life_ms = 2000;
constexpr duration first_suspicion { 100 };
constexpr duration longest_suspicion { 2000 };
constexpr unsigned most_doublings = 5;

} // namespace

std::uint64_t replica_health::onSent(time_point now)
{
    m_sent[m_nextTicket] = now;
    return m_nextTicket++;
}

void replica_health::onEnded(std::uint64_t ticket, attempt_outcome ending,
                             std::optional<load_report> load, time_point now)
{
    const auto found = m_sent.find(ticket);
    if (found == m_sent.end())
        return;
    const duration taken = now - found->second;
    m_sent.erase(found);
    if (load) {
        m_load = *load;
        m_loadSeen = now;
    }
    switch (ending) {
    case attempt_outcome::answered:
        recordLatency(taken, now);
        recordOutcome(false, now);
        m_failuresInARow = 0;
        m_suspectUntil = {};
        break;
    case attempt_outcome::timed_out:
        recordLatency(taken, now);
        break;
    case attempt_outcome::abandoned:
        break;
    default:
        recordOutcome(true, now);
        recordFailure(now);
    }
}

duration replica_health::oldestRequestAge(time_point now) const
{
    return m_sent.empty() ? duration(0) : now - m_sent.begin()->second;
}

double replica_health::latencyMs(double otherwise, time_point now) const
{
    if (m_latencyMs == 0)
        return otherwise;
    const double age = static_cast<double>((now - m_latencySeen).count());
    const double weight = std::exp2(-age / fade_half_life_ms);
    return weight * m_latencyMs + (1 - weight) * otherwise;
}

double replica_health::failureRate(time_point now) const
{
    const double age = static_cast<double>((now - m_outcomeSeen).count());
    return m_failureShare * std::exp2(-age / failure_half_life_ms);
}

std::optional<unsigned> replica_health::reportedQueueLength(time_point now,
                                                            duration longestAge) const
{
    if (now - m_loadSeen > longestAge)
        return std::nullopt;
    return m_load.waiting;
}

void replica_health::recordLatency(duration taken, time_point now)
{
    const double ms = std::max(1.0, static_cast<double>(taken.count()));
    m_latencyMs = m_latencyMs == 0 ? ms : m_latencyMs + newest_weight * (ms - m_latencyMs);
    m_latencySeen = now;
}

void replica_health::recordOutcome(bool failed, time_point now)
{
    const double past = failureRate(now);
    m_failureShare = past + newest_outcome_weight * ((failed ? 1 : 0) - past);
    m_outcomeSeen = now;
}

void replica_health::recordFailure(time_point now)
{
    const unsigned doublings = std::min(m_failuresInARow, most_doublings);
    ++m_failuresInARow;
    m_suspectUntil = now + std::min(first_suspicion * (1 << doublings), longest_suspicion);
}

} // namespace gooseberrymoor
