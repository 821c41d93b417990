#pragma once

#include "gooseberrymoor/http/http_limits.h"
#include "gooseberrymoor/routing/route.h"
#include "gooseberrymoor/routing/service_profile.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gooseberrymoor {

// One version of the operators' configuration of routes and services. Value type.
struct routing_configuration
{
    std::int64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service_profile> services;
    http_limits callerLimits;
};

} // namespace gooseberrymoor
