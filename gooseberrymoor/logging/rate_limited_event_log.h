#pragma once

#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/base/millis_clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace gooseberrymoor {

// How many lines of one event are written. Value type.
struct log_rate_limit
{
    double perSecond = 20;
    double burst = 100;
};

// Passes lines on to another log, of each event only so many; how many were left out stands in a
// line of its own before the next one that is written. Not thread-safe. The other log must outlive
// it.
class rate_limited_event_log : public event_log
{
public:
    rate_limited_event_log(event_log &next, log_rate_limit rate);

    void write(std::string_view event, std::initializer_list<field> fields) override;

private:
    struct usage
    {
        double available = 0;
        time_point refilled {};
        std::uint64_t leftOut = 0;
    };

    bool take(usage &used, time_point now) const;

    event_log &m_next;
    log_rate_limit m_rate;
    std::map<std::string, usage, std::less<>> m_usage;
};

} // namespace gooseberrymoor
