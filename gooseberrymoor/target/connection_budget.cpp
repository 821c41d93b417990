#include "gooseberrymoor/target/connection_budget.h"

#include <algorithm>

namespace gooseberrymoor {

bool connection_budget::mayOpen(time_point now) const
{
    const int forControl = hasControl() ? 1 : 0;
    return m_open + closing(now) + forControl < m_most;
}

bool connection_budget::mayOpenControl(time_point now) const
{
    return hasControl() && !m_isControlOpen && counted(now) < m_most;
}

void connection_budget::onClosed(time_point surelyBy, time_point now)
{
    --m_open;
    keepCounted(surelyBy, now);
}

void connection_budget::onControlClosed(time_point surelyBy, time_point now)
{
    m_isControlOpen = false;
    keepCounted(surelyBy, now);
}

int connection_budget::closing(time_point now) const
{
    return static_cast<int>(
        std::ranges::count_if(m_closing, [now](time_point until) { return until > now; }));
}

int connection_budget::counted(time_point now) const
{
    return m_open + closing(now) + (m_isControlOpen ? 1 : 0);
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

void connection_budget::keepCounted(time_point surelyBy, time_point now)
{
    std::erase_if(m_closing, [now](time_point until) { return until <= now; });
    if (surelyBy > now)
        m_closing.push_back(surelyBy);
}

} // namespace gooseberrymoor
