#pragma once

#include "gooseberrymoor/base/signal.h"

namespace gooseberrymoor {

// An idle connection of a pool. Its task waits until the pool wakes it for a request.
struct idle_connection
{
    explicit idle_connection(asio::any_io_executor executor) : wake(std::move(executor)) { }

    signal wake;
    bool isWoken = false; // by the pool for a request; its task has not resumed yet
};

} // namespace gooseberrymoor
