#include "gooseberrymoor/entry/adaptive_rate.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration window { 100 };
constexpr duration probe_interval { 100 };
constexpr double decrease = 0.85;
constexpr double increase_factor = 1.02; // a window
constexpr double increase_step = 0.1; // queries a second, a window
constexpr double lowest_limit = 5; // queries a second
constexpr double highest_limit = 1e6; // queries a second; beyond it there is no limit
constexpr std::size_t shed_divisor = 100; // one shard in so many may be shed
constexpr double typical_quantile = 0.5;
constexpr double least_weight = 20; // queries, before their time is taken as typical
constexpr double millis_per_second = 1000;

double secondsOf(duration value)
{
    return static_cast<double>(value.count()) / millis_per_second;
}

} // namespace

bool adaptive_rate::admit(duration timeLeft, time_point now)
{
    refill(now);
    const bool inTime = typicalTime() <= timeLeft;
    const bool hasToken = !m_limited || m_tokens >= 1;
    if (!inTime || !hasToken) {
        const bool probes = !m_hasProbed || now - m_probedAt >= probe_interval;
        if (!probes)
            return false;
        m_hasProbed = true;
        m_probedAt = now;
    }
    m_tokens = std::max(m_tokens - 1, 0.0);
    ++m_admitted;
    return true;
}

void adaptive_rate::onEnded(const query_outcome &outcome, time_point now)
{
    refill(now);
    m_shards += outcome.shards;
    m_shed += outcome.shed;
    if (outcome.covered == outcome.shards)
        m_wholeTimes.record(outcome.took);
}

void adaptive_rate::refill(time_point now)
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

void adaptive_rate::closeWindow(duration length, time_point now)
{
    const double rate = static_cast<double>(m_admitted) / secondsOf(length);
    const bool sheds = m_shed * shed_divisor > m_shards;
    if (sheds && now >= m_holdUntil) {
        const double before = m_limited ? std::min(m_limit, rate) : rate;
        m_limit = std::max(before * decrease, lowest_limit);
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

duration adaptive_rate::typicalTime() const
{
    if (m_wholeTimes.weight() < least_weight)
        return duration(0);
    return m_wholeTimes.quantile(typical_quantile);
}

} // namespace gooseberrymoor
