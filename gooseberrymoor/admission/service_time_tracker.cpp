#include "gooseberrymoor/admission/service_time_tracker.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr double baseline_weight = 1.0 / 128; // of a new median in the moving average
// A service time is slow if it exceeds `slow_factor` times the baseline plus `slow_margin_ms`.
constexpr double slow_factor = 4;
constexpr double slow_margin_ms = 20;
constexpr std::int64_t max_recorded_ms = 3'600'000;

} // namespace

void service_time_tracker::record(duration elapsed)
{
    m_window[m_next]
        = static_cast<std::int32_t>(std::clamp<std::int64_t>(elapsed.count(), 0, max_recorded_ms));
    m_next = (m_next + 1) % window_size;
    m_count = std::min(m_count + 1, window_size);
    if (m_count < window_size)
        return;
    auto sorted = m_window;
    std::nth_element(sorted.begin(), sorted.begin() + window_size / 2, sorted.end());
    m_median = sorted[window_size / 2];
    m_baseline = m_baseline < 0 ? m_median : m_baseline + (m_median - m_baseline) * baseline_weight;
}

std::optional<duration> service_time_tracker::recent() const
{
    if (m_baseline < 0)
        return std::nullopt;
    return duration(m_count == window_size ? m_median : static_cast<std::int64_t>(m_baseline));
}

bool service_time_tracker::isSlow(duration elapsed) const
{
    return m_baseline >= 0
        && static_cast<double>(elapsed.count()) > m_baseline * slow_factor + slow_margin_ms;
}

bool service_time_tracker::hasSlowed() const
{
    return m_count == window_size && isSlow(duration(m_median));
}

} // namespace gooseberrymoor
