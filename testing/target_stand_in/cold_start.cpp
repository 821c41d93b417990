#include "cold_start.h"

#include "target_settings.h"

using namespace gooseberrymoor;

void cold_start::begin()
{
    m_firstRequest.reset();
    m_served = 0;
}

void cold_start::onRequest(time_point now)
{
    if (!m_firstRequest)
        m_firstRequest = now;
}

bool cold_start::isCold(const target_settings &settings, time_point now) const
{
    if (settings.coldSlots == 0)
        return false;
    const bool warmupTimePassed
        = m_firstRequest && now - *m_firstRequest >= duration(settings.warmupMs);
    return !warmupTimePassed || m_served < settings.warmupRequests;
}
