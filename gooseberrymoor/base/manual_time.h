#pragma once

#include "gooseberrymoor/base/millis_clock.h"

namespace gooseberrymoor {

// Replaces the source of `millis_clock` for its own lifetime, for tests in virtual time.
// At most one may live at a time. Not thread-safe.
class manual_time
{
public:
    explicit manual_time(duration sinceStart = duration(1000));
    ~manual_time();
    manual_time(const manual_time &) = delete;
    manual_time &operator=(const manual_time &) = delete;

    // Moves the present time forward by `step`, which is not negative.
    void advance(duration step);

private:
    duration m_sinceStart;
};

} // namespace gooseberrymoor
