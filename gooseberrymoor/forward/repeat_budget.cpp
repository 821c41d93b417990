#include "gooseberrymoor/forward/repeat_budget.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int slices_per_window = 20;
// Leaves a margin because nodes do not see membership changes at the same time.
constexpr double usable_limit_fraction = 0.9;

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
    expire(used.requests, now);
    expire(used.repeats, now);
    const double slack = m_limits.slack / static_cast<double>(m_nodes);
    const double allowed = usable_limit_fraction * (m_limits.ratio * used.requests.total + slack);
    return used.repeats.total + 1 <= allowed;
}

void repeat_budget::onRepeated(const std::string &service, time_point now)
{
    add(m_usage[service].repeats, now);
}

void repeat_budget::add(recent_count &count, time_point now) const
{
    expire(count, now);
    const duration slice = m_limits.window / slices_per_window;
    if (count.slices.empty() || now - count.slices.back().first >= slice)
        count.slices.emplace_back(now, 0);
    ++count.slices.back().second;
    ++count.total;
}

// Removes slices whose last possible event is older than the window.
void repeat_budget::expire(recent_count &count, time_point now) const
{
    const duration slice = m_limits.window / slices_per_window;
    while (!count.slices.empty() && now - count.slices.front().first > m_limits.window + slice) {
        count.total -= count.slices.front().second;
        count.slices.pop_front();
    }
}

} // namespace gooseberrymoor
