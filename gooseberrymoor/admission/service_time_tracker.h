#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace gooseberrymoor {

// The time one target takes to answer: the median of its last answers against its own longer past.
// A median, so that stragglers are no sign of a slow target. Not thread-safe.
class service_time_tracker
{
public:
    // Adds one answer that took `taken`.
    void record(duration taken);

    // The median of the last answers; nothing while there are too few.
    std::optional<duration> recent() const;

    // Whether one answer is far slower than this target used to be.
    bool isSlow(duration taken) const;

    // Whether the median is.
    bool hasSlowed() const;

    // Forgets the last answers, but not the longer past.
    void forgetRecent() { m_count = 0; }

private:
    static constexpr std::size_t window = 16; // answers

    std::array<std::int32_t, window> m_last {}; // milliseconds
    std::size_t m_next = 0;
    std::size_t m_count = 0;
    std::int32_t m_median = 0; // milliseconds
    double m_baseline = -1; // milliseconds, negative while unknown
};

} // namespace gooseberrymoor
