#pragma once

#include <chrono>
#include <cstdint>

namespace gooseberrymoor {

// The monotonic clock that all code uses: milliseconds since the VM booted, including time spent
// suspended (CLOCK_BOOTTIME). Tests replace its source with `manual_clock`. Thread-safe.
class millis_clock
{
public:
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<millis_clock>;
    static constexpr bool is_steady = true;

    // Returns the current time.
    static time_point now() noexcept;

    // Returns whether a `manual_clock` provides the time.
    static bool isManual() noexcept;

private:
    friend class manual_clock;
    static void setManual(std::int64_t milliseconds) noexcept;
};

using time_point = millis_clock::time_point;
using duration = millis_clock::duration;

} // namespace gooseberrymoor
