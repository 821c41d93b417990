#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <memory>
#include <set>
#include <string>

namespace gooseberrymoor {

struct known_replica;

// Chooses the target of each request.
class replica_selector
{
public:
    virtual ~replica_selector() = default;

    // A target of `service` that may receive a request now and whose id is not in `excluded`;
    // null if there is none.
    virtual std::shared_ptr<known_replica>
    choose(const std::string &service, const std::set<std::string> &excluded, time_point now) = 0;
};

} // namespace gooseberrymoor
