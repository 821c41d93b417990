#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/timer.h"

namespace gooseberrymoor {

// A condition variable for tasks on one executor. A notification is lost if no task waits for it,
// and a task may be woken early, so tasks check their condition before and after each wait.
// Not thread-safe.
class signal
{
public:
    explicit signal(asio::any_io_executor executor);

    // Suspends the calling task until `notify` is called or `until` is reached.
    asio::awaitable<void> wait(time_point until = time_point::max());

    // Wakes all waiting tasks.
    void notify();

private:
    asio::any_io_executor m_executor;
    timer m_timer;
    int m_waiters = 0;
};

} // namespace gooseberrymoor
