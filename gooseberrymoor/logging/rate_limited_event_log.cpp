#include "gooseberrymoor/logging/rate_limited_event_log.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr double millis_per_second = 1000;

} // namespace

rate_limited_event_log::rate_limited_event_log(event_log &next, log_rate_limit rate)
    : m_next(next), m_rate(rate)
{
}

void rate_limited_event_log::write(std::string_view event, std::initializer_list<field> fields)
{
    const time_point now = millis_clock::now();
    auto found = m_usage.find(event);
    if (found == m_usage.end())
        found = m_usage.emplace(std::string(event), usage { m_rate.burst, now, 0 }).first;
    usage &used = found->second;
    if (!take(used, now)) {
        ++used.leftOut;
        return;
    }
    if (used.leftOut > 0)
        m_next.write("lines_left_out",
                     { { "of", std::string(event) }, { "count", std::to_string(used.leftOut) } });
    used.leftOut = 0;
    m_next.write(event, fields);
}

bool rate_limited_event_log::take(usage &used, time_point now) const
{
    const double passed = static_cast<double>((now - used.refilled).count()) / millis_per_second;
    used.available = std::min(m_rate.burst, used.available + passed * m_rate.perSecond);
    used.refilled = now;
    if (used.available < 1)
        return false;
    used.available -= 1;
    return true;
}

} // namespace gooseberrymoor
