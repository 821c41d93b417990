#include "gooseberrymoor/target/control_connection.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/target/connection_budget.h"
#include "gooseberrymoor/target/control_connection_listener.h"
#include "gooseberrymoor/target/target_codec.h"

namespace gooseberrymoor {

namespace {

constexpr duration health_report_interval { 2500 };
constexpr int health_report_jitter_percent = 20;
constexpr duration exchange_timeout { 1000 };
constexpr duration connect_retry_delay { 200 };
// Time within which a target closes its end of a connection that no longer responds.
constexpr duration unresponsive_close_delay { 10'000 };
constexpr std::size_t max_queued_cancellations = 256;

} // namespace

control_connection::control_connection(asio::any_io_executor executor, endpoint target,
                                       control_connection_listener &listener,
                                       connection_budget &budget, counters &counters)
    : m_executor(executor), m_target(std::move(target)), m_listener(listener), m_budget(budget),
      m_counters(counters), m_wake(executor), m_random(std::random_device {}())
{
}

void control_connection::start(std::shared_ptr<void> keepAlive)
{
    m_isStopping = false;
    if (m_isRunning)
        return;
    m_isRunning = true;
    m_nextReportTime = drawNextReportTime();
    startTask(m_executor, m_counters, "target_control", run(std::move(keepAlive)));
}

void control_connection::stop()
{
    m_isStopping = true;
    m_wake.notify();
}

void control_connection::cancel(std::uint64_t requestId, std::string id, time_point expiry)
{
    if (!m_isRunning || m_cancellations.size() >= max_queued_cancellations) {
        m_counters.add("target_cancels_dropped");
        return;
    }
    m_cancellations.push_back({ requestId, std::move(id), expiry });
    m_wake.notify();
}

asio::awaitable<void> control_connection::run(std::shared_ptr<void> keepAlive)
{
    http_connection connection(m_executor);
    while (!m_isStopping || !m_cancellations.empty()) {
        if (m_cancellations.empty() && millis_clock::now() < m_nextReportTime) {
            co_await m_wake.wait(m_nextReportTime);
            continue;
        }
        co_await processNext(connection);
    }
    close(connection, duration(0));
    m_isRunning = false;
    keepAlive.reset();
}

asio::awaitable<void> control_connection::processNext(http_connection &connection)
{
    if (!connection.isUsable()) {
        const bool opened = co_await open(connection);
        if (!opened) {
            co_await m_wake.wait(millis_clock::now() + connect_retry_delay);
            co_return;
        }
    }
    if (!m_cancellations.empty())
        co_await sendNextCancellation(connection);
    else if (!m_isStopping)
        co_await requestHealthReport(connection);
}

asio::awaitable<bool> control_connection::open(http_connection &connection)
{
    close(connection, duration(0));
    const time_point now = millis_clock::now();
    std::erase_if(m_cancellations, [now](const cancellation &each) { return each.expiry <= now; });
    if (!m_budget.mayOpenControl(now)) {
        m_counters.add("target_control_without_connection");
        m_nextReportTime = drawNextReportTime();
        co_return false;
    }
    m_isInBudget = true;
    m_budget.onControlOpened();
    const auto opened = co_await connection.connect(m_target, now + exchange_timeout);
    if (opened)
        co_return true;
    close(connection, duration(0));
    m_nextReportTime = drawNextReportTime();
    m_counters.add("target_control_connect_failed");
    m_listener.onUnreachable();
    co_return false;
}

asio::awaitable<void> control_connection::sendNextCancellation(http_connection &connection)
{
    const cancellation first = std::move(m_cancellations.front());
    m_cancellations.pop_front();
    const time_point now = millis_clock::now();
    if (first.expiry <= now)
        co_return;
    m_counters.add("target_cancels");
    const time_point deadline = std::min(first.expiry, now + exchange_timeout);
    const auto reply = co_await connection.exchange(encodeTargetCancellation(first.id), deadline);
    if (!reply) {
        close(connection, reply.error().timedOut ? unresponsive_close_delay : duration(0));
        co_return;
    }
    if (isCancellationConfirmed(*reply))
        m_listener.onStopped(first.requestId);
}

asio::awaitable<void> control_connection::requestHealthReport(http_connection &connection)
{
    m_nextReportTime = drawNextReportTime();
    const time_point deadline = millis_clock::now() + exchange_timeout;
    const auto reply = co_await connection.exchange(encodeTargetHealthRequest(), deadline);
    if (!reply) {
        m_counters.add("target_health_missed");
        close(connection, reply.error().timedOut ? unresponsive_close_delay : duration(0));
        co_return;
    }
    const auto status = decodeTargetHealth(*reply);
    if (status)
        m_listener.onHealth(*status);
}

void control_connection::close(http_connection &connection, duration closeDelay)
{
    connection.close();
    const time_point now = millis_clock::now();
    if (std::exchange(m_isInBudget, false))
        m_budget.onControlClosed(now + closeDelay, now);
}

time_point control_connection::drawNextReportTime()
{
    std::uniform_int_distribution<int> percent(100 - health_report_jitter_percent,
                                               100 + health_report_jitter_percent);
    return millis_clock::now() + health_report_interval * percent(m_random) / 100;
}

} // namespace gooseberrymoor
