#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/request_error.h"

#include <string>

namespace gooseberrymoor {

// How one leaf request ended at a target of a known version. Value type.
struct leaf_observation
{
    std::string service;
    std::string version;
    std::string route; // as the caller named it; empty if it named none
    error_kind error = error_kind::none;
    duration latency {};
    std::string target {}; // its name in the service; empty if it is not known
};

} // namespace gooseberrymoor
