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
    std::string route; // as given by the caller; empty if none was given
    error_kind error = error_kind::none;
    duration latency {};
    std::string target {}; // name in the service; empty if unknown
};

} // namespace gooseberrymoor
