#include "gooseberrymoor/store/store_era_tracker.h"

namespace gooseberrymoor {

era_order store_era_tracker::onSeen(store_era era)
{
    if (!m_current || era == *m_current) {
        m_current = era;
        return era_order::current;
    }
    if (era < *m_current)
        return era_order::older;
    m_current = era;
    ++m_changes;
    return era_order::newer;
}

era_order store_era_tracker::onSeen(std::optional<store_era> era)
{
    if (era)
        return onSeen(*era);
    return m_changes == 0 ? era_order::current : era_order::older;
}

} // namespace gooseberrymoor
