#include "gooseberrymoor/base/manual_clock.h"

namespace gooseberrymoor {

manual_clock::manual_clock(duration sinceStart) : m_sinceStart(sinceStart)
{
    millis_clock::setManual(m_sinceStart.count());
}

manual_clock::~manual_clock()
{
    millis_clock::setManual(-1);
}

void manual_clock::advance(duration step)
{
    m_sinceStart += step;
    millis_clock::setManual(m_sinceStart.count());
}

} // namespace gooseberrymoor
