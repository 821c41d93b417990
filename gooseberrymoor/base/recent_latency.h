#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <array>
#include <cstddef>

namespace gooseberrymoor {

// Quantiles of recent durations in logarithmic buckets; older ones lose weight as new ones are
// recorded. A record costs some nanoseconds, which the many leaf answers of a query need.
// Not thread-safe.
class recent_latency
{
public:
    // Counts one duration.
    void record(duration value);

    // Upper edge of the bucket that holds quantile `q` in [0, 1]; zero while nothing is counted.
    duration quantile(double q) const;

    // The weight of all that is counted.
    double weight() const { return m_weight; }

private:
    static constexpr std::size_t bucket_count = 96;

    void decay();

    std::array<double, bucket_count> m_buckets {};
    double m_weight = 0;
    int m_sinceDecay = 0;
};

} // namespace gooseberrymoor
