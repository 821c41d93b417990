#include "gooseberrymoor/base/manual_time.h"

namespace gooseberrymoor {

manual_time::manual_time(duration sinceStart) : m_sinceStart(sinceStart)
{
    millis_clock::setManual(m_sinceStart.count());
}

manual_time::~manual_time()
{
    millis_clock::setManual(-1);
}

void manual_time::advance(duration step)
{
    m_sinceStart += step;
    millis_clock::setManual(m_sinceStart.count());
}

} // namespace gooseberrymoor
