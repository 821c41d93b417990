#pragma once

#include "gooseberrymoor/routing/route.h"

#include <map>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Shares the requests of routes among their services by weight: smooth weighted round robin, so
// that each service's part is kept over any short run of requests. Not thread-safe.
class weighted_service_selector
{
public:
    // The service for the next request of `route`, which has a split with a positive weight.
    const std::string &next(const route &route);

private:
    struct rotation
    {
        std::vector<std::string> services;
        std::vector<double> credit;
    };

    rotation &rotationOf(const route &route);

    std::map<std::string, rotation> m_rotations; // by name of the route
};

} // namespace gooseberrymoor
