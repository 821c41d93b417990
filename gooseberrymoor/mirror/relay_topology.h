#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// Says which peers get what a node passes on of the store.
class relay_topology
{
public:
    virtual ~relay_topology() = default;

    // Of `linked`, those that the reader sends an update to. They pass it on.
    virtual std::vector<std::string> recipientsOfReader(const std::vector<std::string> &linked,
                                                        time_point now) const = 0;

    // Of `linked`, those to which a node passes on what it had from `reader`.
    virtual std::vector<std::string> recipientsOfRelay(const std::vector<std::string> &linked,
                                                       const std::string &reader) const = 0;
};

} // namespace gooseberrymoor
