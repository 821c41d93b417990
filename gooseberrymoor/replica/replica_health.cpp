#include "gooseberrymoor/replica/replica_health.h"

#include <algorithm>
#include <cmath>

namespace gooseberrymoor {

namespace {

constexpr double latency_sample_weight = 0.2; // of a new sample in the moving average
constexpr double latency_half_life_ms = 3000;
constexpr double outcome_sample_weight = 0.15; // of a new sample in the failure rate
constexpr double failure_half_life_ms = 2000;
constexpr duration initial_suspect_time { 100 };
constexpr duration max_suspect_time { 2000 };
constexpr unsigned max_suspect_doublings = 5;

} // namespace

std::uint64_t replica_health::onSent(time_point now)
{
    m_sent[m_nextTicket] = now;
    return m_nextTicket++;
}

void replica_health::onEnded(std::uint64_t ticket, attempt_outcome outcome,
                             std::optional<load_report> load, time_point now)
{
    const auto found = m_sent.find(ticket);
    if (found == m_sent.end())
        return;
    const duration taken = now - found->second;
    m_sent.erase(found);
    if (load) {
        m_load = *load;
        m_loadReportedAt = now;
    }
    switch (outcome) {
    case attempt_outcome::answered:
        recordLatency(taken, now);
        recordOutcome(false, now);
        m_consecutiveFailures = 0;
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

double replica_health::latencyMs(double fallbackMs, time_point now) const
{
    if (m_latencyMs == 0)
        return fallbackMs;
    const double age = static_cast<double>((now - m_latencyUpdatedAt).count());
    const double weight = std::exp2(-age / latency_half_life_ms);
    return weight * m_latencyMs + (1 - weight) * fallbackMs;
}

double replica_health::failureRate(time_point now) const
{
    const double age = static_cast<double>((now - m_outcomeRecordedAt).count());
    return m_failureRate * std::exp2(-age / failure_half_life_ms);
}

std::optional<unsigned> replica_health::reportedQueueLength(time_point now, duration maxAge) const
{
    if (now - m_loadReportedAt > maxAge)
        return std::nullopt;
    return m_load.waiting;
}

void replica_health::recordLatency(duration taken, time_point now)
{
    const double ms = std::max(1.0, static_cast<double>(taken.count()));
    m_latencyMs = m_latencyMs == 0 ? ms : m_latencyMs + latency_sample_weight * (ms - m_latencyMs);
    m_latencyUpdatedAt = now;
}

void replica_health::recordOutcome(bool failed, time_point now)
{
    const double decayedRate = failureRate(now);
    m_failureRate = decayedRate + outcome_sample_weight * ((failed ? 1 : 0) - decayedRate);
    m_outcomeRecordedAt = now;
}

void replica_health::recordFailure(time_point now)
{
    const unsigned doublings = std::min(m_consecutiveFailures, max_suspect_doublings);
    ++m_consecutiveFailures;
    m_suspectUntil = now + std::min(initial_suspect_time * (1 << doublings), max_suspect_time);
}

} // namespace gooseberrymoor
