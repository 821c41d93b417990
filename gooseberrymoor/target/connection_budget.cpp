#include "gooseberrymoor/target/connection_budget.h"

#include <algorithm>

namespace gooseberrymoor {

bool connection_budget::mayOpen(time_point now) const
{
    const int reserved = isControlReserved() ? 1 : 0;
    return m_openCount + closingCount(now) + reserved < m_limit;
}

bool connection_budget::mayOpenControl(time_point now) const
{
    return isControlReserved() && !m_isControlOpen && totalCount(now) < m_limit;
}

void connection_budget::onClosed(time_point closedBy, time_point now)
{
    --m_openCount;
    addClosing(closedBy, now);
}

void connection_budget::onControlClosed(time_point closedBy, time_point now)
{
    m_isControlOpen = false;
    addClosing(closedBy, now);
}

int connection_budget::closingCount(time_point now) const
{
    return static_cast<int>(
        std::ranges::count_if(m_closing, [now](time_point until) { return until > now; }));
}

int connection_budget::totalCount(time_point now) const
{
    return m_openCount + closingCount(now) + (m_isControlOpen ? 1 : 0);
}

time_point connection_budget::nextReleaseTime(time_point now) const
{
    time_point next = time_point::max();
    for (const time_point until : m_closing) {
        if (until > now)
            next = std::min(next, until);
    }
    return next;
}

void connection_budget::addClosing(time_point closedBy, time_point now)
{
    std::erase_if(m_closing, [now](time_point until) { return until <= now; });
    if (closedBy > now)
        m_closing.push_back(closedBy);
}

} // namespace gooseberrymoor
