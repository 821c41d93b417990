#include "gooseberrymoor/base/stall_detector.h"

namespace gooseberrymoor {

namespace {

constexpr duration shortest_stall { 500 };
constexpr duration catch_up_time { 50 }; // to read what arrived during a stall

} // namespace

void stall_detector::onTick(time_point now)
{
    const duration gap = now - m_lastTick;
    m_lastTick = now;
    if (gap < shortest_stall)
        return;
    m_stallEnd = now;
    m_stallLength = gap;
}

duration stall_detector::possibleReadDelay(time_point now) const
{
    const duration gap = now - m_lastTick;
    if (gap >= shortest_stall)
        return gap;
    return now - m_stallEnd < catch_up_time ? m_stallLength : duration(0);
}

} // namespace gooseberrymoor
