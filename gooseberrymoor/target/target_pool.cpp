#include "gooseberrymoor/target/target_pool.h"

#include "gooseberrymoor/admission/leaf_reply_sink.h"
#include "gooseberrymoor/admission/owner_permission.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/target/target_codec.h"

#include <random>

namespace gooseberrymoor {

namespace {

constexpr duration connect_timeout { 1000 };
constexpr duration idle_connection_life { 30'000 };
constexpr int control_connections = 1; // kept free for cancellations

std::string randomId()
{
    static thread_local std::mt19937_64 generator { std::random_device {}() };
    return std::to_string(generator());
}

} // namespace

target_pool::target_pool(asio::any_io_executor executor, std::string service, target_config target,
                         target_limits limits, const owner_permission &permission, counters &events)
    : m_executor(executor), m_key(service + "/" + target.name), m_target(std::move(target)),
      m_limits(limits), m_permission(permission), m_events(events),
      m_admission(limits, millis_clock::now()), m_wake(executor), m_expiryWake(executor),
      m_poolId(randomId())
{
}

void target_pool::submit(const std::string &origin, leaf_request request,
                         std::shared_ptr<leaf_reply_sink> sink)
{
    const time_point now = millis_clock::now();
    const time_point deadline = now + request.timeout;
    const ticket which = ++m_lastTicket;
    m_works[which] = { origin, std::move(request), deadline, std::move(sink) };
    if (m_retired) {
        answerError(which, error_kind::not_owner, verdict::not_run);
        m_works.erase(which);
        return;
    }
    if (!m_admission.offer(which, deadline, now)) {
        const bool late = deadline <= now;
        answerError(which, late ? error_kind::deadline_passed : error_kind::overloaded,
                    verdict::not_run);
        m_works.erase(which);
        return;
    }
    if (!m_expiryRunning) {
        m_expiryRunning = true;
        startTask(m_executor, m_events, "target_expiry", expiryTask());
    }
    pump();
}

void target_pool::cancel(const std::string &origin, std::uint64_t id)
{
    for (auto &[which, each] : m_works) {
        if (each.origin != origin || each.request.id != id)
            continue;
        if (m_admission.withdraw(which)) {
            answerError(which, error_kind::cancelled, verdict::not_run);
            m_works.erase(which);
            return;
        }
        m_events.add("target_cancels");
        startTask(m_executor, m_events, "target_cancel",
                  cancelTask(targetRequestId(which), each.deadline));
        return;
    }
}

void target_pool::retire()
{
    m_retired = true;
    std::vector<ticket> waiting;
    for (const auto &[which, each] : m_works) {
        if (m_admission.withdraw(which))
            waiting.push_back(which);
    }
    for (const ticket which : waiting) {
        answerError(which, error_kind::not_owner, verdict::not_run);
        m_works.erase(which);
    }
    m_wake.notify();
    m_expiryWake.notify();
}

void target_pool::pump()
{
    const time_point now = millis_clock::now();
    while (const auto next = m_admission.startNext(now))
        m_started.push_back(*next);
    m_wake.notify();
    const int lacking = static_cast<int>(m_started.size()) - m_idleConnections;
    const int most = std::max(1, m_limits.connections - control_connections);
    for (int i = 0; i < lacking && m_connections < most; ++i) {
        ++m_connections;
        startTask(m_executor, m_events, "target_connection", connectionTask());
    }
}

void target_pool::answer(ticket which, leaf_response response)
{
    const auto found = m_works.find(which);
    if (found == m_works.end() || !found->second.sink)
        return;
    response.id = found->second.request.id;
    response.queued = m_admission.waiting();
    const auto sink = std::exchange(found->second.sink, nullptr);
    sink->reply(std::move(response));
}

void target_pool::answerError(ticket which, error_kind kind, verdict outcome)
{
    leaf_response response;
    response.error = kind;
    response.outcome = outcome;
    answer(which, std::move(response));
}

asio::awaitable<void> target_pool::connectionTask()
{
    const auto self = shared_from_this();
    http_connection connection(m_executor);
    const auto connected
        = co_await connection.connect(m_target.address, millis_clock::now() + connect_timeout);
    if (!connected) {
        m_events.add("target_connect_failed");
        --m_connections;
        // Without a connection nothing was sent: what was admitted goes back as not run.
        if (m_connections == 0) {
            while (!m_started.empty()) {
                const ticket which = m_started.front();
                m_started.pop_front();
                m_admission.finish(which, leaf_result::lost, millis_clock::now());
                answerError(which, error_kind::target_lost, verdict::not_run);
                m_works.erase(which);
            }
        }
        co_return;
    }
    while (connection.isOpen() && !(m_retired && m_started.empty())) {
        if (m_started.empty()) {
            const time_point idleUntil = millis_clock::now() + idle_connection_life;
            ++m_idleConnections;
            co_await m_wake.wait(idleUntil);
            --m_idleConnections;
            if (m_started.empty() && millis_clock::now() >= idleUntil)
                break;
            continue;
        }
        const ticket which = m_started.front();
        m_started.pop_front();
        co_await serveTicket(connection, which);
        pump();
    }
    --m_connections;
    pump();
}

asio::awaitable<void> target_pool::serveTicket(http_connection &connection, ticket which)
{
    const auto found = m_works.find(which);
    if (found == m_works.end())
        co_return;
    const leaf_request request = found->second.request;
    const time_point deadline = found->second.deadline;
    const time_point now = millis_clock::now();
    // After every wait the right to send is checked again.
    if (deadline <= now || !m_permission.mayStart(m_key, now)) {
        const bool late = deadline <= now;
        m_admission.finish(which, leaf_result::answered, now);
        answerError(which, late ? error_kind::deadline_passed : error_kind::not_owner,
                    verdict::not_run);
        m_works.erase(which);
        co_return;
    }
    m_events.add("target_requests");
    auto exchanged = co_await connection.exchange(
        encodeTargetRequest(request, targetRequestId(which), deadline - now), deadline);
    target_reply reply
        = exchanged ? decodeTargetReply(request, *exchanged) : toTargetReply(exchanged.error());
    const time_point ended = millis_clock::now();
    if (!reply.instance.empty())
        m_admission.observeInstance(reply.instance, ended);
    m_admission.finish(which, reply.result, ended);
    if (reply.result == leaf_result::lost)
        m_lostRunUntil = std::max(m_lostRunUntil, deadline);
    leaf_response response;
    response.error = reply.error;
    response.outcome = reply.outcome;
    response.snapshot = std::move(reply.snapshot);
    response.body = std::move(reply.body);
    answer(which, std::move(response));
    m_works.erase(which);
}

asio::awaitable<void> target_pool::cancelTask(std::string id, time_point deadline)
{
    const auto self = shared_from_this();
    co_await exchangeOnce(m_target.address, encodeTargetCancel(id), deadline);
}

asio::awaitable<void> target_pool::expiryTask()
{
    const auto self = shared_from_this();
    while (!m_works.empty()) {
        time_point next = time_point::max();
        for (const auto &[which, each] : m_works)
            next = std::min(next, std::max(each.deadline, millis_clock::now() + duration(1)));
        co_await m_expiryWake.wait(next);
        for (const ticket which : m_admission.expire(millis_clock::now())) {
            answerError(which, error_kind::deadline_passed, verdict::not_run);
            m_works.erase(which);
        }
    }
    m_expiryRunning = false;
}

std::string target_pool::targetRequestId(ticket which) const
{
    return m_poolId + "-" + std::to_string(which);
}

} // namespace gooseberrymoor
