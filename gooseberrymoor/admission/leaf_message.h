#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/request_error.h"

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// One shard's part of a query, on its way to a target through the target's owner. Value type.
struct leaf_request
{
    std::uint64_t id = 0; // unique for the node that sends it
    std::string service;
    std::string target; // its name in the service
    std::string shard;
    std::string snapshot;
    bool idempotent = true;
    duration timeout {}; // time left when it was sent
    std::string body;
    std::string route {}; // as the caller named it; may be empty
};

// The answer to a `leaf_request`, or why there is none. Value type.
struct leaf_response
{
    std::uint64_t id = 0;
    error_kind error = error_kind::none;
    verdict outcome = verdict::not_run;
    std::string snapshot; // that the target answered from
    std::string body;
    int queued = 0; // leaf requests that wait at the owner for this target
};

} // namespace gooseberrymoor
