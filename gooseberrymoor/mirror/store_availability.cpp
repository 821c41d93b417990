#include "gooseberrymoor/mirror/store_availability.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration max_healthy_duration { 24 * 3'600'000 };
constexpr duration max_read_interval { 1200 }; // between two reads of a working reader

} // namespace

bool store_availability::onServed(time_point now)
{
    const bool hasOutageEnded = m_lastServed && now - *m_lastServed >= min_outage_duration;
    if (hasOutageEnded)
        m_lastOutage = m_lastFailure && *m_lastFailure > *m_lastServed ? *m_lastFailure : now;
    if (!m_firstServed)
        m_firstServed = now;
    m_lastServed = now;
    return hasOutageEnded;
}

void store_availability::onCallFailed(time_point now)
{
    m_lastFailure = now;
}

void store_availability::onOutageReported(time_point outage)
{
    if (!m_firstServed || outage < *m_firstServed)
        m_lastOutage = std::max(m_lastOutage, std::optional(outage));
}

std::optional<time_point> store_availability::lastSuspectedOutage() const
{
    return std::max(m_lastOutage, m_lastFailure);
}

duration store_availability::healthyFor(time_point now) const
{
    return m_lastOutage ? now - *m_lastOutage : max_healthy_duration;
}

bool store_availability::hasServedRecently(time_point now) const
{
    return m_lastServed && now - *m_lastServed <= max_read_interval;
}

} // namespace gooseberrymoor
