#include "health_history.h"

using namespace gooseberrymoor;

std::string health_history::exchange(std::string report, time_point now, duration lag)
{
    m_entries.push_back({ now, std::move(report) });
    while (m_entries.size() > 1 && m_entries[1].at + lag <= now)
        m_entries.pop_front();
    return m_entries.front().report;
}
