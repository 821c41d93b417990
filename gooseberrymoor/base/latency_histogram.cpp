#include "gooseberrymoor/base/latency_histogram.h"

#include <boost/histogram.hpp>

#include <cmath>

namespace gooseberrymoor {

namespace {

namespace bh = boost::histogram;
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr int bucket_count = 200;
constexpr double lowest_ms = 0.5;
constexpr double highest_ms = 60'000.0;

} // namespace

struct latency_histogram::implementation
{
    bh::histogram<std::tuple<log_axis>> buckets
        = bh::make_histogram(log_axis(bucket_count, lowest_ms, highest_ms));
    std::uint64_t count = 0;
};

latency_histogram::latency_histogram() : m_implementation(std::make_unique<implementation>()) { }

latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram &&) noexcept = default;
latency_histogram &latency_histogram::operator=(latency_histogram &&) noexcept = default;

void latency_histogram::record(duration value)
{
    m_implementation->buckets(static_cast<double>(value.count()));
    ++m_implementation->count;
}

duration latency_histogram::quantile(double q) const
{
    if (m_implementation->count == 0)
        return duration(0);
    const double wantedCount = q * static_cast<double>(m_implementation->count);
    double cumulativeCount = 0;
    for (auto &&bucket : bh::indexed(m_implementation->buckets, bh::coverage::all)) {
        cumulativeCount += *bucket;
        if (cumulativeCount >= wantedCount) {
            const double upper = std::min(bucket.bin(0).upper(), highest_ms);
            return duration(static_cast<std::int64_t>(std::ceil(upper)));
        }
    }
    return duration(static_cast<std::int64_t>(highest_ms));
}

std::uint64_t latency_histogram::count() const
{
    return m_implementation->count;
}

} // namespace gooseberrymoor
