#pragma once

#include "gooseberrymoor/configuration/configuration.h"

#include <memory>

namespace gooseberrymoor {

// Holds the active configuration of one node. Its revision never decreases.
// Not thread-safe; the objects that `current` returns are immutable and remain valid.
class configuration_holder
{
public:
    configuration_holder();

    // Activates `next` if its revision is above the active one; returns whether it did.
    bool offer(configuration next);

    // The active configuration; empty and at revision 0 before the first.
    std::shared_ptr<const configuration> current() const { return m_current; }

private:
    std::shared_ptr<const configuration> m_current;
};

} // namespace gooseberrymoor
