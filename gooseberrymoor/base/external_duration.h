#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cmath>
#include <optional>

namespace gooseberrymoor {

// The longest duration that is accepted from outside: adding it to a time never overflows.
constexpr duration max_external_duration { std::chrono::hours(24 * 30) };

// Returns `milliseconds` as a duration, or nothing if it is negative, not a finite number or longer
// than `max_external_duration`.
inline std::optional<duration> externalDuration(double milliseconds)
{
    const auto limit = static_cast<double>(max_external_duration.count());
    if (!(milliseconds >= 0 && milliseconds <= limit))
        return std::nullopt;
    return duration(std::llround(milliseconds));
}

} // namespace gooseberrymoor
