#pragma once

#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/base/millis_clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace gooseberrymoor {

// Limit on the lines written for each event name: the average rate and the largest burst.
// Value type.
struct log_rate_limit
{
    double perSecond = 20;
    double burst = 100;
};

// Forwards lines to another log with a rate limit for each event name. When lines were suppressed,
// their number is logged before the next line of that event. Not thread-safe. The other log must
// outlive it.
class rate_limited_event_log : public event_log
{
public:
    rate_limited_event_log(event_log &next, log_rate_limit limit);

    void write(std::string_view event, std::initializer_list<field> fields) override;

private:
    struct token_bucket
    {
        double tokens = 0;
        time_point refilledAt {};
        std::uint64_t suppressedLines = 0;
    };

    bool takeToken(token_bucket &bucket, time_point now) const;

    event_log &m_next;
    log_rate_limit m_limit;
    std::map<std::string, token_bucket, std::less<>> m_buckets;
};

} // namespace gooseberrymoor
