#include "gooseberrymoor/rollout/version_counts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gooseberrymoor {

namespace {

constexpr double bucket_growth = 1.25;

} // namespace

std::size_t latencyBucketOf(duration latency)
{
    static const double logGrowth = std::log(bucket_growth);
    if (latency.count() <= 1)
        return 0;
    const double index = std::log(static_cast<double>(latency.count())) / logGrowth;
    return std::min(static_cast<std::size_t>(index), latency_buckets - 1);
}

void version_counts::add(error_kind error, duration took)
{
    switch (error) {
    case error_kind::none:
        ++answers;
        ++latency[latencyBucketOf(took)];
        break;
    case error_kind::cancelled:
        ++latency[latencyBucketOf(took)];
        break;
    case error_kind::target_failed:
        ++failed;
        break;
    case error_kind::malformed_answer:
        ++malformed;
        break;
    case error_kind::timed_out:
        ++timedOut;
        ++latency[latencyBucketOf(took)];
        break;
    case error_kind::target_lost:
        ++lost;
        break;
    default:
        break;
    }
}

void version_counts::merge(const version_counts &other)
{
    answers += other.answers;
    failed += other.failed;
    malformed += other.malformed;
    timedOut += other.timedOut;
    lost += other.lost;
    for (std::size_t i = 0; i < latency_buckets; ++i)
        latency[i] += other.latency[i];
}

std::uint32_t version_counts::latencySamples() const
{
    return std::accumulate(latency.begin(), latency.end(), 0U);
}

} // namespace gooseberrymoor
