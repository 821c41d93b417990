#include "gooseberrymoor/routing/weighted_service_selector.h"

#include <algorithm>

namespace gooseberrymoor {

weighted_service_selector::rotation &weighted_service_selector::rotationOf(const route &route)
{
    rotation &current = m_rotations[route.name];
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
    std::vector<double> &credit = rotationOf(route).credit;
    double total = 0;
    for (std::size_t i = 0; i < credit.size(); ++i) {
        credit[i] += route.split[i].weight;
        total += route.split[i].weight;
    }
    const auto chosen = std::max_element(credit.begin(), credit.end());
    *chosen -= total;
    return route.split[static_cast<std::size_t>(chosen - credit.begin())].service;
}

} // namespace gooseberrymoor
