#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// Selects the peers that receive updates of the store's contents from a node.
class relay_topology
{
public:
    virtual ~relay_topology() = default;

    // Returns the peers among `connected` to which the reader sends an update. These peers
    // relay it further.
    virtual std::vector<std::string> recipientsOfReader(const std::vector<std::string> &connected,
                                                        time_point now) const = 0;

    // Returns the peers among `connected` to which a node relays an update from `reader`.
    virtual std::vector<std::string> recipientsOfRelay(const std::vector<std::string> &connected,
                                                       const std::string &reader) const = 0;
};

} // namespace gooseberrymoor
