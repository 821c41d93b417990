#pragma once

#include "gooseberrymoor/configuration/service_config.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace gooseberrymoor {

// The operators' configuration of one cell, at one revision of the store. Value type.
struct configuration
{
    std::int64_t revision = 0; // store revision; increases with each accepted change
    std::map<std::string, service_config> services;
    std::set<std::string> zonesOut; // availability zones taken out of service

    // Returns the service called `name`, or null.
    const service_config *findService(const std::string &name) const
    {
        const auto found = services.find(name);
        return found == services.end() ? nullptr : &found->second;
    }

    bool operator==(const configuration &) const = default;
};

} // namespace gooseberrymoor
