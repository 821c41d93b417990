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

// The control connection to one target: one task requests health reports and sends cancellations.
// Not thread-safe.
class control_connection
{
public:
    // References must outlive the task, which keeps the listener alive (see `start`).
    control_connection(asio::any_io_executor executor, endpoint target,
                       control_connection_listener &listener, connection_budget &budget,
                       counters &counters);

    // Starts the task unless it is running. The task holds `keepAlive` while it runs.
    void start(std::shared_ptr<void> keepAlive);

    // Ends the task once the queued cancellations are processed.
    void stop();

    // Queues a cancellation of request `requestId`, whose id at the target is `id`. It is dropped
    // if not sent before `expiry`, or at once if the task is not running or the queue is full.
    void cancel(std::uint64_t requestId, std::string id, time_point expiry);

private:
    struct cancellation
    {
        std::uint64_t requestId;
        std::string id;
        time_point expiry;
    };

    asio::awaitable<void> run(std::shared_ptr<void> keepAlive);
    asio::awaitable<void> processNext(http_connection &connection);
    asio::awaitable<bool> open(http_connection &connection);
    asio::awaitable<void> sendNextCancellation(http_connection &connection);
    asio::awaitable<void> requestHealthReport(http_connection &connection);
    void close(http_connection &connection, duration closeDelay);
    time_point drawNextReportTime();

    asio::any_io_executor m_executor;
    endpoint m_target;
    control_connection_listener &m_listener;
    connection_budget &m_budget;
    counters &m_counters;
    signal m_wake;
    std::deque<cancellation> m_cancellations;
    std::minstd_rand m_random;
    time_point m_nextReportTime {};
    bool m_isRunning = false;
    bool m_isStopping = false;
    bool m_isInBudget = false;
};

} // namespace gooseberrymoor
