#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace gooseberrymoor {

class leaf_completion_queue;
struct caller_request;
struct known_replica;

// One request on its way to a target. Shared by its run and the connection that carries it.
struct leaf_call
{
    std::shared_ptr<const caller_request> request;
    std::shared_ptr<known_replica> target;
    std::shared_ptr<leaf_completion_queue> inbox; // where its ending is put
    std::size_t shard = 0;
    std::uint64_t attempt = 0;
    std::uint64_t ticket = 0; // of the target's health
    time_point deadline {};
    int priority = 0; // of the route; 0 goes first
    bool abandoned = false; // nobody waits for its answer any more
};

} // namespace gooseberrymoor
