#include "gooseberrymoor/base/signal.h"

namespace gooseberrymoor {

namespace {

constexpr duration longest_wait { 3'600'000 }; // keeps far expiries within the timer's range

} // namespace

signal::signal(asio::any_io_executor executor) : m_executor(executor), m_timer(executor) { }

asio::awaitable<void> signal::wait(time_point until)
{
    const time_point now = millis_clock::now();
    const time_point expiry = std::min(until, now + longest_wait);
    // Another waiter's earlier expiry stands, unless it has passed: it wakes all, and each checks
    // its own condition.
    const bool passed = m_timer.expiry() <= now;
    if (m_waiters == 0 || passed || expiry < m_timer.expiry())
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
