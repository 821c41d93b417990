#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>

namespace gooseberrymoor {

class connection_budget;
class control_connection_listener;
class counters;
class http_connection;

// The connection to one target for health reports and cancellations, with its one task.
// Not thread-safe.
class control_connection
{
public:
    // References must outlive the last task, which keeps the listener alive.
    control_connection(asio::any_io_executor executor, endpoint target,
                       control_connection_listener &listener, connection_budget &budget,
                       counters &events);

    // Starts the task unless it runs; `keepAlive` lives as long as it.
    void start(std::shared_ptr<void> keepAlive);

    // Ends the task after the cancellations that wait.
    void stop();

    // Asks the target to stop request `which`, which it knows as `id`; useless after `until`.
    void cancel(std::uint64_t which, std::string id, time_point until);

private:
    struct cancellation
    {
        std::uint64_t which;
        std::string id;
        time_point until;
    };

    asio::awaitable<void> run(std::shared_ptr<void> keepAlive);
    asio::awaitable<void> work(http_connection &connection);
    asio::awaitable<bool> open(http_connection &connection);
    asio::awaitable<void> cancelFirst(http_connection &connection);
    asio::awaitable<void> askHealth(http_connection &connection);
    void close(http_connection &connection, duration closedWithin);
    time_point nextReport();

    asio::any_io_executor m_executor;
    endpoint m_target;
    control_connection_listener &m_listener;
    connection_budget &m_budget;
    counters &m_events;
    signal m_wake;
    std::deque<cancellation> m_cancellations;
    std::minstd_rand m_random;
    time_point m_reportAt {};
    bool m_isRunning = false;
    bool m_isStopping = false;
    bool m_isCounted = false; // in the budget
};

} // namespace gooseberrymoor
