#pragma once

#include "gooseberrymoor/base/signal.h"

namespace gooseberrymoor {

// A connection whose task sleeps until its pool has a request for it.
struct idle_connection
{
    explicit idle_connection(asio::any_io_executor executor) : wake(std::move(executor)) { }

    signal wake;
    bool isCalled = false; // the pool woke it, and it has not run yet
};

} // namespace gooseberrymoor
