#pragma once

#include <chrono>
#include <cstdint>

namespace gooseberrymoor {

// The only clock of the project: milliseconds since the VM started, time in suspension included.
// It never goes back. Tests may replace its source through `manual_clock`.
// Thread-safe.
class millis_clock
{
public:
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<millis_clock>;
    static constexpr bool is_steady = true;

    // Returns the present time.
    static time_point now() noexcept;

    // Whether the source is a test's.
    static bool isManual() noexcept;

private:
    friend class manual_clock;
    static void setManual(std::int64_t milliseconds) noexcept;
};

using time_point = millis_clock::time_point;
using duration = millis_clock::duration;

} // namespace gooseberrymoor
