#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <deque>
#include <string>

// Keeps the health reports of a target stand-in, as JSON, so that they can be served late.
class health_history
{
public:
    // Adds the report for `now` and returns the newest report that is at least `lag` old, or the
    // oldest one if all are newer.
    std::string recordAndGetDelayed(std::string report, gooseberrymoor::time_point now,
                                    gooseberrymoor::duration lag);

private:
    struct entry
    {
        gooseberrymoor::time_point time;
        std::string report;
    };
    std::deque<entry> m_entries;
};
