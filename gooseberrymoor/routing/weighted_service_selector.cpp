#include "gooseberrymoor/routing/weighted_service_selector.h"

#include <algorithm>

namespace gooseberrymoor {

weighted_service_selector::selector_state &weighted_service_selector::stateOf(const route &route)
{
    selector_state &current = m_states[route.name];
    std::vector<std::string> services;
    for (const weighted_service &each : route.split)
        services.push_back(each.service);
    if (current.services != services)
        current = { std::move(services), std::vector<double>(route.split.size(), 0) };
    return current;
}

const std::string &weighted_service_selector::next(const route &route)
{
    if (route.split.size() == 1)
        return route.split.front().service;
    std::vector<double> &currentWeights = stateOf(route).currentWeights;
    double total = 0;
    for (std::size_t i = 0; i < currentWeights.size(); ++i) {
        currentWeights[i] += route.split[i].weight;
        total += route.split[i].weight;
    }
    const auto chosen = std::max_element(currentWeights.begin(), currentWeights.end());
    *chosen -= total;
    return route.split[static_cast<std::size_t>(chosen - currentWeights.begin())].service;
}

} // namespace gooseberrymoor
