#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <optional>

struct target_settings;

// Tracks whether a target stand-in is cold. It becomes warm once both its warm-up time has passed
// and it has served a number of requests.
class cold_start
{
public:
    // Starts a cold phase.
    void begin();

    // Called for each accepted request; the first one starts the warm-up time.
    void onRequest(gooseberrymoor::time_point now);

    // Called for each request that ran to its end.
    void onServed() { ++m_served; }

    // Whether the target is cold at `now`. Always false if `settings` has no cold slots.
    bool isCold(const target_settings &settings, gooseberrymoor::time_point now) const;

private:
    std::optional<gooseberrymoor::time_point> m_firstRequest;
    int m_served = 0;
};
