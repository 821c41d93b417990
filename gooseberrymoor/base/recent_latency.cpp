#include "gooseberrymoor/base/recent_latency.h"

#include <algorithm>
#include <cmath>

namespace gooseberrymoor {

namespace {

constexpr double bucket_growth = 1.12; // ratio of a bucket's upper edge to its lower edge
constexpr int records_between_decays = 1000;
constexpr double decay_factor = 0.5;
// Keeps a value on a bucket's upper edge in that bucket despite rounding.

double upperEdgeMs(std::size_t bucket)
{
    return std::pow(bucket_growth, static_cast<double>(bucket));
}

std::size_t bucketIndexOf(duration value, std::size_t count)
{
    if (value <= duration(1))
        return 0;
    static const double bucketsPerLog = 1 / std::log(bucket_growth);
    const double bucket
        = std::ceil(std::log(static_cast<double>(value.count())) * bucketsPerLog - 1e-9);
    return std::min(static_cast<std::size_t>(bucket), count - 1);
}

} // namespace

void recent_latency::record(duration value)
{
    m_buckets[bucketIndexOf(value, bucket_count)] += 1;
    m_weight += 1;
    if (++m_sinceDecay >= records_between_decays)
        decay();
}

duration recent_latency::quantile(double q) const
{
    double remaining = q * m_weight;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        remaining -= m_buckets[i];
        if (remaining <= 0 && m_buckets[i] > 0)
            return duration(static_cast<duration::rep>(std::ceil(upperEdgeMs(i) - 1e-9)));
    }
    return duration(0);
}

void recent_latency::decay()
{
    m_sinceDecay = 0;
    for (double &bucket : m_buckets)
        bucket *= decay_factor;
    m_weight *= decay_factor;
}

} // namespace gooseberrymoor
