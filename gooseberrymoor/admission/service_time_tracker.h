#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace gooseberrymoor {

// Tracks the service time of one target: the median of its latest answers and a long-term baseline
// of that median. A median is used so that single stragglers do not make a target count as slow.
// Not thread-safe.
class service_time_tracker
{
public:
    // Records the service time of one answer.
    void record(duration elapsed);

    // The median of the latest answers, or the baseline while the window refills after
    // `clearWindow`. Empty until the window was full once.
    std::optional<duration> recent() const;

    // Whether an answer that took `elapsed` is far slower than the baseline.
    bool isSlow(duration elapsed) const;

    // Whether the median of a full window is far slower than the baseline.
    bool hasSlowed() const;

    // Discards the latest answers but keeps the baseline.
    void clearWindow() { m_count = 0; }

private:
    static constexpr std::size_t window_size = 16; // answers

    std::array<std::int32_t, window_size> m_window {}; // milliseconds, ring buffer
    std::size_t m_next = 0;
    std::size_t m_count = 0;
    std::int32_t m_median = 0; // milliseconds
    double m_baseline = -1; // milliseconds, negative while unknown
};

} // namespace gooseberrymoor
