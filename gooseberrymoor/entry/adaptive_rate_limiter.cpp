#include "gooseberrymoor/entry/adaptive_rate_limiter.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration window { 100 };
constexpr duration probe_interval { 100 };
constexpr double decrease_factor = 0.85;
constexpr double increase_factor = 1.02; // per window
constexpr double increase_step = 1; // shards per second, per window
constexpr double min_limit = 50; // shards per second
constexpr double max_limit = 1e7; // shards per second; from here on the rate is unlimited
constexpr std::size_t shards_per_tolerated_shed = 100; // one shed shard per 100 (1%) is tolerated
constexpr double median_quantile = 0.5;
constexpr double min_sample_weight = 20; // decayed query count from which the median is used
constexpr double millis_per_second = 1000;

double secondsOf(duration value)
{
    return static_cast<double>(value.count()) / millis_per_second;
}

} // namespace

bool adaptive_rate_limiter::admit(std::size_t shards, duration timeLeft, time_point now)
{
    refill(now);
    const bool fitsDeadline = medianCompleteLatency() <= timeLeft;
    const bool hasToken = !m_isLimited || m_tokens > 0;
    if (!fitsDeadline || !hasToken) {
        const bool mayProbe = !m_hasProbed || now - m_probedAt >= probe_interval;
        if (!mayProbe)
            return false;
        m_hasProbed = true;
        m_probedAt = now;
    }
    // The debt is limited to the cost of one query. Otherwise, probe queries with many shards would
    // block all others.
    const auto cost = static_cast<double>(shards);
    if (m_isLimited)
        m_tokens = std::max(m_tokens - cost, -cost);
    m_admittedShards += shards;
    return true;
}

void adaptive_rate_limiter::onQueryEnded(const query_outcome &outcome, time_point now)
{
    refill(now);
    m_endedShards += outcome.requestedShards;
    m_shedShards += outcome.shedShards;
    if (outcome.answeredShards == outcome.requestedShards)
        m_completeAnswerLatencies.record(outcome.latency);
}

void adaptive_rate_limiter::refill(time_point now)
{
    if (m_windowStart == time_point {}) {
        m_windowStart = now;
        m_refilledAt = now;
    }
    m_tokens += m_limit * secondsOf(now - m_refilledAt);
    m_tokens = std::min(m_tokens, std::max(m_limit * secondsOf(window), 1.0));
    m_refilledAt = now;
    if (now - m_windowStart >= window)
        closeWindow(now - m_windowStart, now);
}

void adaptive_rate_limiter::closeWindow(duration length, time_point now)
{
    const double rate = static_cast<double>(m_admittedShards) / secondsOf(length);
    const bool isShedding = m_shedShards * shards_per_tolerated_shed > m_endedShards;
    if (isShedding && now >= m_holdUntil) {
        const double baseRate = m_isLimited ? std::min(m_limit, rate) : rate;
        m_limit = std::max(baseRate * decrease_factor, min_limit);
        if (!m_isLimited)
            m_tokens = 0;
        m_isLimited = true;
        m_holdUntil = now + window + medianCompleteLatency();
    } else if (!isShedding && m_isLimited) {
        m_limit = m_limit * increase_factor + increase_step;
        m_isLimited = m_limit < max_limit;
    }
    m_windowStart = now;
    m_admittedShards = 0;
    m_endedShards = 0;
    m_shedShards = 0;
}

duration adaptive_rate_limiter::medianCompleteLatency() const
{
    if (m_completeAnswerLatencies.weight() < min_sample_weight)
        return duration(0);
    return m_completeAnswerLatencies.quantile(median_quantile);
}

} // namespace gooseberrymoor
