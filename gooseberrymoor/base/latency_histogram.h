#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cstdint>
#include <memory>

namespace gooseberrymoor {

// Counts of durations in logarithmic buckets from 1 ms to 60 s, with Boost.Histogram.
// Not thread-safe.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram &&) noexcept;
    latency_histogram &operator=(latency_histogram &&) noexcept;

    // Counts one duration; what is outside the range is counted in the outermost buckets.
    void record(duration value);

    // Upper edge of the bucket that holds quantile `q` in [0, 1]; zero while nothing is counted.
    duration quantile(double q) const;

    // How many durations were counted.
    std::uint64_t count() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gooseberrymoor
