#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <memory>
#include <set>
#include <string>

namespace gooseberrymoor {

struct known_replica;

// Selects the target for each request.
class replica_selector
{
public:
    virtual ~replica_selector() = default;

    // Returns an eligible target of `service` whose id is not in `excluded`, or null if there is
    // none.
    virtual std::shared_ptr<known_replica>
    choose(const std::string &service, const std::set<std::string> &excluded, time_point now) = 0;

    // Earliest time at which a target of `service` accepts requests: `now` if one does so already,
    // later if all have asked for a pause, `time_point::max()` if none is eligible.
    virtual time_point availableAt(const std::string &service, time_point now) const = 0;
};

} // namespace gooseberrymoor
