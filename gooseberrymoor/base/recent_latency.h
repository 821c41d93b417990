#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <array>
#include <cstddef>

namespace gooseberrymoor {

// A histogram of durations in logarithmic buckets in which older durations lose weight as new ones
// are recorded, whereas `latency_histogram` keeps all of them. `record` takes only nanoseconds, so
// it can be called for every leaf answer of every query. Not thread-safe.
class recent_latency
{
public:
    // Adds one duration with a weight of 1.
    void record(duration value);

    // Returns the upper edge of the bucket that contains quantile `q` in [0, 1]; zero if the
    // histogram is empty.
    duration quantile(double q) const;

    // Returns the total weight of the recorded durations.
    double weight() const { return m_weight; }

private:
    static constexpr std::size_t bucket_count = 96;

    void decay();

    std::array<double, bucket_count> m_buckets {};
    double m_weight = 0;
    int m_sinceDecay = 0;
};

} // namespace gooseberrymoor
