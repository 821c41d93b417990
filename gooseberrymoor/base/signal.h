#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/timer.h"

namespace gooseberrymoor {

// Lets tasks of one executor sleep until another task notifies them or a time is reached.
// A notification without a waiter is lost, so a waiter checks its condition before it waits.
// Not thread-safe.
class signal
{
public:
    explicit signal(asio::any_io_executor executor);

    // Sleeps until `notify` or `until`.
    asio::awaitable<void> wait(time_point until = time_point::max());

    // Wakes every waiter.
    void notify();

private:
    asio::any_io_executor m_executor;
    timer m_timer;
    int m_waiters = 0;
};

} // namespace gooseberrymoor
