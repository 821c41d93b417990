#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <deque>
#include <string>

// The health reports of a target stand-in, which may be given out late. JSON texts.
class health_history
{
public:
    // Adds the report of `now`, and returns the newest that is at least `lag` old; the oldest known
    // if none is.
    std::string exchange(std::string report, gooseberrymoor::time_point now,
                         gooseberrymoor::duration lag);

private:
    struct entry
    {
        gooseberrymoor::time_point at;
        std::string report;
    };
    std::deque<entry> m_entries;
};
