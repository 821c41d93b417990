#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// Makes `millis_clock` return virtual time for as long as this object lives, for tests.
// At most one instance may exist at a time. Not thread-safe.
class manual_clock
{
public:
    // Starts the virtual time at `sinceStart` after the epoch of `millis_clock`.
    explicit manual_clock(duration sinceStart = duration(1000));
    ~manual_clock();
    manual_clock(const manual_clock &) = delete;
    manual_clock &operator=(const manual_clock &) = delete;

    // Advances the virtual time by `step`, which must not be negative.
    void advance(duration step);

private:
    duration m_sinceStart;
};

} // namespace gooseberrymoor
