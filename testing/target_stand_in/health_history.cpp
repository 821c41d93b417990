#include "health_history.h"

using namespace gooseberrymoor;

std::string health_history::recordAndGetDelayed(std::string report, time_point now, duration lag)
{
    m_entries.push_back({ now, std::move(report) });
    while (m_entries.size() > 1 && m_entries[1].time + lag <= now)
        m_entries.pop_front();
    return m_entries.front().report;
}
