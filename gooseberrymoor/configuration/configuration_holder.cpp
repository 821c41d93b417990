#include "gooseberrymoor/configuration/configuration_holder.h"

namespace gooseberrymoor {

configuration_holder::configuration_holder()
    : m_current(std::make_shared<const configuration>()) { }

bool configuration_holder::offer(configuration next)
{
    if (next.revision <= m_current->revision)
        return false;
    m_current = std::make_shared<const configuration>(std::move(next));
    return true;
}

} // namespace gooseberrymoor
