#include "gooseberrymoor/forward/repeat_budget.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int slices_a_window = 20;
constexpr double margin = 0.9; // of the limit that is used: nodes see members change at other times

} // namespace

repeat_budget::repeat_budget(repeat_limits limits) : m_limits(limits) { }

void repeat_budget::setNodes(std::size_t nodes)
{
    m_nodes = std::max<std::size_t>(1, nodes);
}

void repeat_budget::onRequest(const std::string &service, time_point now)
{
    add(m_usage[service].requests, now);
}

bool repeat_budget::mayRepeat(const std::string &service, time_point now)
{
    usage &used = m_usage[service];
    forget(used.requests, now);
    forget(used.repeats, now);
    const double slack = m_limits.slack / static_cast<double>(m_nodes);
    const double allowed = margin * (m_limits.ratio * used.requests.total + slack);
    return used.repeats.total + 1 <= allowed;
}

void repeat_budget::onRepeated(const std::string &service, time_point now)
{
    add(m_usage[service].repeats, now);
}

void repeat_budget::add(recent_count &count, time_point now) const
{
    forget(count, now);
    const duration slice = m_limits.window / slices_a_window;
    if (count.slices.empty() || now - count.slices.back().first >= slice)
        count.slices.emplace_back(now, 0);
    ++count.slices.back().second;
    ++count.total;
}

// A slice counts until the window has passed since its last event could have come.
void repeat_budget::forget(recent_count &count, time_point now) const
{
    const duration slice = m_limits.window / slices_a_window;
    while (!count.slices.empty() && now - count.slices.front().first > m_limits.window + slice) {
        count.total -= count.slices.front().second;
        count.slices.pop_front();
    }
}

} // namespace gooseberrymoor
