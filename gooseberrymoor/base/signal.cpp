#include "gooseberrymoor/base/signal.h"

namespace gooseberrymoor {

namespace {

constexpr duration max_wait { 3'600'000 }; // keeps the expiry within the timer's range

} // namespace

signal::signal(asio::any_io_executor executor) : m_executor(executor), m_timer(executor) { }

asio::awaitable<void> signal::wait(time_point until)
{
    const time_point now = millis_clock::now();
    const time_point expiry = std::min(until, now + max_wait);
    // All waiters share one timer, which is set to the earliest expiry and wakes all of them. An
    // expiry that has passed must be replaced, or each wait would return at once and the tasks
    // would spin.
    const bool hasExpired = m_timer.expiry() <= now;
    if (m_waiters == 0 || hasExpired || expiry < m_timer.expiry())
        m_timer.expires_at(expiry);
    ++m_waiters;
    co_await m_timer.async_wait(as_result);
    --m_waiters;
}

void signal::notify()
{
    m_timer.cancel();
}

} // namespace gooseberrymoor
