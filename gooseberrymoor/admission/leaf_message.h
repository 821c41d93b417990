#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/request_error.h"

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// The request for one shard of a query, sent to a target through the target's owner. Value type.
struct leaf_request
{
    std::uint64_t id = 0; // unique per sending node
    std::string service;
    std::string target; // name within the service
    std::string shard;
    std::string snapshot;
    bool idempotent = true;
    duration timeout {}; // remaining time when it was sent
    std::string body;
    std::string route {}; // given by the caller; may be empty
};

// The answer to a `leaf_request`, or the error. Value type.
struct leaf_response
{
    std::uint64_t id = 0;
    error_kind error = error_kind::none;
    verdict outcome = verdict::not_run;
    std::string snapshot; // the snapshot that the target used
    std::string body;
    int queued = 0; // leaf requests queued at the owner for this target
};

} // namespace gooseberrymoor
