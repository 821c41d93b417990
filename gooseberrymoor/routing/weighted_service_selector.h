#pragma once

#include "gooseberrymoor/routing/route.h"

#include <map>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Distributes the requests of each route over its services by smooth weighted round robin, so that
// even short sequences of requests follow the weights. Not thread-safe.
class weighted_service_selector
{
public:
    // The service for the next request of `route`, whose split must contain at least one service
    // with a positive weight.
    const std::string &next(const route &route);

private:
    struct selector_state
    {
        std::vector<std::string> services;
        std::vector<double> currentWeights;
    };

    selector_state &stateOf(const route &route);

    std::map<std::string, selector_state> m_states; // by route name
};

} // namespace gooseberrymoor
