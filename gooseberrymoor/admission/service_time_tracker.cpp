#include "gooseberrymoor/admission/service_time_tracker.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr double baseline_weight = 1.0 / 128; // of one median
constexpr double slow_factor = 4;
constexpr double slow_margin_ms = 20;
constexpr std::int64_t longest_ms = 3'600'000;

} // namespace

void service_time_tracker::record(duration taken)
{
    m_last[m_next]
        = static_cast<std::int32_t>(std::clamp<std::int64_t>(taken.count(), 0, longest_ms));
    m_next = (m_next + 1) % window;
    m_count = std::min(m_count + 1, window);
    if (m_count < window)
        return;
    auto sorted = m_last;
    std::nth_element(sorted.begin(), sorted.begin() + window / 2, sorted.end());
    m_median = sorted[window / 2];
    m_baseline = m_baseline < 0 ? m_median : m_baseline + (m_median - m_baseline) * baseline_weight;
}

std::optional<duration> service_time_tracker::recent() const
{
    if (m_baseline < 0)
        return std::nullopt;
    return duration(m_count == window ? m_median : static_cast<std::int64_t>(m_baseline));
}

bool service_time_tracker::isSlow(duration taken) const
{
    return m_baseline >= 0
        && static_cast<double>(taken.count()) > m_baseline * slow_factor + slow_margin_ms;
}

bool service_time_tracker::hasSlowed() const
{
    return m_count == window && isSlow(duration(m_median));
}

} // namespace gooseberrymoor
