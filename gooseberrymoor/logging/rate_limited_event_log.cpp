#include "gooseberrymoor/logging/rate_limited_event_log.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr double millis_per_second = 1000;

} // namespace

rate_limited_event_log::rate_limited_event_log(event_log &next, log_rate_limit limit)
    : m_next(next), m_limit(limit)
{
}

void rate_limited_event_log::write(std::string_view event, std::initializer_list<field> fields)
{
    const time_point now = millis_clock::now();
    auto found = m_buckets.find(event);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(event), token_bucket { m_limit.burst, now, 0 }).first;
    token_bucket &bucket = found->second;
    if (!takeToken(bucket, now)) {
        ++bucket.suppressedLines;
        return;
    }
    if (bucket.suppressedLines > 0)
        m_next.write(
            "lines_left_out",
            { { "of", std::string(event) }, { "count", std::to_string(bucket.suppressedLines) } });
    bucket.suppressedLines = 0;
    m_next.write(event, fields);
}

bool rate_limited_event_log::takeToken(token_bucket &bucket, time_point now) const
{
    const double elapsedSeconds
        = static_cast<double>((now - bucket.refilledAt).count()) / millis_per_second;
    bucket.tokens = std::min(m_limit.burst, bucket.tokens + elapsedSeconds * m_limit.perSecond);
    bucket.refilledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace gooseberrymoor
