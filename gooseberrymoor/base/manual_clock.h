#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// Replaces the source of `millis_clock` for its own lifetime, for tests in virtual time.
// At most one may live at a time. Not thread-safe.
class manual_clock
{
public:
    explicit manual_clock(duration sinceStart = duration(1000));
    ~manual_clock();
    manual_clock(const manual_clock &) = delete;
    manual_clock &operator=(const manual_clock &) = delete;

    // Moves the present time forward by `step`, which is not negative.
    void advance(duration step);

private:
    duration m_sinceStart;
};

} // namespace gooseberrymoor
