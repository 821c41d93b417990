#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace gooseberrymoor {

class leaf_completion_queue;
struct caller_request;
struct known_replica;

// One request to a target. Shared by the caller's request and the connection that sends it.
struct leaf_call
{
    std::shared_ptr<const caller_request> request;
    std::shared_ptr<known_replica> target;
    std::shared_ptr<leaf_completion_queue> completionQueue; // receives the result
    std::size_t shard = 0;
    std::uint64_t attempt = 0;
    std::uint64_t ticket = 0; // from `replica_health::onSent`
    time_point deadline {};
    int priority = 0; // of the route; 0 is the highest
    // The result is no longer needed. Unless a reply arrives, the call completes as
    // `attempt_outcome::abandoned`.
    bool cancelled = false;
    // Sent before this time only; otherwise completed as not run. Set when the node stops.
    time_point sendBefore = time_point::max();
};

} // namespace gooseberrymoor
