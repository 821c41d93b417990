#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cstdint>
#include <memory>

namespace gooseberrymoor {

// A histogram of durations up to 60 s in logarithmic buckets. Not thread-safe.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram &&) noexcept;
    latency_histogram &operator=(latency_histogram &&) noexcept;

    // Adds one duration. Values outside the range go to the underflow or the overflow bucket.
    void record(duration value);

    // Returns the upper edge of the bucket that contains quantile `q` in [0, 1], at most 60 s;
    // zero if the histogram is empty.
    duration quantile(double q) const;

    // Returns the number of recorded durations.
    std::uint64_t count() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gooseberrymoor
