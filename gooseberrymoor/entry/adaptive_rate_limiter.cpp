#include "gooseberrymoor/entry/adaptive_rate_limiter.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration window { 100 };
constexpr duration probe_interval { 100 };
constexpr double decrease = 0.85;
constexpr double increase_factor = 1.02; // a window
constexpr double increase_step = 1; // shards a second, a window
constexpr double lowest_limit = 50; // shards a second
constexpr double highest_limit = 1e7; // shards a second; beyond it there is no limit
constexpr std::size_t shed_divisor = 100; // one shard in so many may be shed
constexpr double typical_quantile = 0.5;
constexpr double least_weight = 20; // queries, before their time is taken as typical
constexpr double millis_per_second = 1000;

double secondsOf(duration value)
{
    return static_cast<double>(value.count()) / millis_per_second;
}

} // namespace

bool adaptive_rate_limiter::admit(std::size_t shards, duration timeLeft, time_point now)
{
    refill(now);
    const bool inTime = typicalTime() <= timeLeft;
    const bool hasToken = !m_limited || m_tokens > 0;
    if (!inTime || !hasToken) {
        const bool probes = !m_hasProbed || now - m_probedAt >= probe_interval;
        if (!probes)
            return false;
        m_hasProbed = true;
        m_probedAt = now;
    }
    // The debt is one query's at most, or wide ones let in to learn from would keep all others out.
    const auto cost = static_cast<double>(shards);
    if (m_limited)
        m_tokens = std::max(m_tokens - cost, -cost);
    m_admitted += shards;
    return true;
}

void adaptive_rate_limiter::onEnded(const query_outcome &outcome, time_point now)
{
    refill(now);
    m_shards += outcome.shards;
    m_shed += outcome.shed;
    if (outcome.covered == outcome.shards)
        m_wholeTimes.record(outcome.took);
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
    const double rate = static_cast<double>(m_admitted) / secondsOf(length);
    const bool sheds = m_shed * shed_divisor > m_shards;
    if (sheds && now >= m_holdUntil) {
        const double before = m_limited ? std::min(m_limit, rate) : rate;
        m_limit = std::max(before * decrease, lowest_limit);
        if (!m_limited)
            m_tokens = 0;
        m_limited = true;
        m_holdUntil = now + window + typicalTime();
    } else if (!sheds && m_limited) {
        m_limit = m_limit * increase_factor + increase_step;
        m_limited = m_limit < highest_limit;
    }
    m_windowStart = now;
    m_admitted = 0;
    m_shards = 0;
    m_shed = 0;
}

duration adaptive_rate_limiter::typicalTime() const
{
    if (m_wholeTimes.weight() < least_weight)
        return duration(0);
    return m_wholeTimes.quantile(typical_quantile);
}

} // namespace gooseberrymoor
