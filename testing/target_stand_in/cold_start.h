#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <optional>

struct target_settings;

// Whether a target stand-in is cold. It warms up by time and by what it serves.
class cold_start
{
public:
    // Becomes cold, if the settings let it be.
    void begin();

    // A request came in.
    void onRequest(gooseberrymoor::time_point now);

    // A request was served.
    void onServed() { ++m_served; }

    // Whether it is cold now under `settings`.
    bool isCold(const target_settings &settings, gooseberrymoor::time_point now) const;

private:
    std::optional<gooseberrymoor::time_point> m_firstRequest;
    int m_served = 0;
};
