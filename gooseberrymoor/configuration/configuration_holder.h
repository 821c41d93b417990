#pragma once

#include "gooseberrymoor/configuration/configuration.h"

#include <memory>

namespace gooseberrymoor {

// The configuration in force at one node. Its revision only rises.
// Not thread-safe; what `current` returned stays valid and unchanged.
class configuration_holder
{
public:
    configuration_holder();

    // Puts `next` in force if its revision is above the one in force; returns whether it is.
    bool offer(configuration next);

    // The configuration in force; revision 0 and empty before the first.
    std::shared_ptr<const configuration> current() const { return m_current; }

private:
    std::shared_ptr<const configuration> m_current;
};

} // namespace gooseberrymoor
