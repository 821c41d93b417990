#include "gooseberrymoor/target/target_pool.h"

#include "gooseberrymoor/admission/leaf_reply_sink.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/membership/target_ownership.h"
#include "gooseberrymoor/target/idle_connection.h"
#include "gooseberrymoor/target/target_codec.h"

#include <algorithm>
#include <random>

namespace gooseberrymoor {

namespace {

constexpr duration connect_timeout { 1000 };
constexpr duration idle_timeout { 30'000 };
constexpr int min_open_connections = 2; // kept open even if they are idle
// Time within which a target closes its end after the owner has closed a connection.
constexpr duration normal_close_delay { 1000 };
// The same for a connection that no longer responds.
constexpr duration unresponsive_close_delay { 10'000 };
constexpr duration initial_connect_backoff { 50 }; // doubled with each consecutive failure
constexpr int max_connect_backoff_doublings = 5;
constexpr double min_jitter = 0.5;
constexpr double max_jitter = 1.5;
constexpr duration cancellation_lifetime { 1000 }; // after the deadline of a request

std::uint64_t randomNumber()
{
    static thread_local std::mt19937_64 generator { std::random_device {}() };
    return generator();
}

} // namespace

target_pool::target_pool(asio::any_io_executor executor, std::string service, target_config target,
                         target_limits limits, const target_ownership &ownership,
                         counters &counters)
    : m_executor(executor), m_key(service + "/" + target.name), m_target(std::move(target)),
      m_ownership(ownership), m_counters(counters),
      m_admission(limits, millis_clock::now(), static_cast<std::uint32_t>(randomNumber())),
      m_budget(limits.connections),
      m_control(executor, m_target.address, *this, m_budget, counters), m_timerWake(executor),
      m_poolId(std::to_string(randomNumber())), m_random(static_cast<std::uint32_t>(randomNumber()))
{
}

target_pool::~target_pool() = default;

void target_pool::open()
{
    if (m_closeReason)
        m_admission.returnToService(millis_clock::now());
    m_closeReason.reset();
    m_control.start(shared_from_this());
}

void target_pool::close(error_kind reason)
{
    m_closeReason = reason;
    refuse(m_admission.clearQueue(), reason);
    for (idle_connection *each : m_idleConnections)
        each->wake.notify();
    stopControlWhenIdle();
}

void target_pool::configure(const target_config &target, const target_limits &limits)
{
    m_target = target;
    if (limits == m_admission.limits())
        return;
    m_budget.setLimit(limits.connections);
    refuse(m_admission.setLimits(limits, millis_clock::now()), error_kind::overloaded);
    dispatchQueue();
}

void target_pool::submit(const std::string &origin, leaf_request request,
                         std::shared_ptr<leaf_reply_sink> sink)
{
    const time_point now = millis_clock::now();
    const time_point deadline = now + request.timeout;
    const request_id requestId = ++m_lastRequestId;
    const request_key key { origin, request.id };
    m_requests[requestId] = { key, std::move(request), deadline, std::move(sink) };
    if (!m_idsByKey.emplace(key, requestId).second) {
        m_counters.add("leaf_requests_duplicate");
        failRequest(requestId, error_kind::bad_request, verdict::may_have_run);
        return;
    }
    if (m_closeReason) {
        failRequest(requestId, *m_closeReason, verdict::not_run);
        return;
    }
    if (now < m_connectBackoffUntil && m_budget.openCount() == 0) {
        failRequest(requestId, error_kind::target_lost, verdict::not_run);
        return;
    }
    if (const auto error = toErrorKind(m_admission.offer(requestId, deadline, now))) {
        m_counters.add("target_requests_refused");
        failRequest(requestId, *error, verdict::not_run);
        return;
    }
    startTimer();
    dispatchQueue();
}

void target_pool::cancel(const std::string &origin, std::uint64_t id)
{
    const auto found = m_idsByKey.find({ origin, id });
    if (found == m_idsByKey.end())
        return;
    const request_id requestId = found->second;
    if (m_admission.withdraw(requestId)) {
        failRequest(requestId, error_kind::cancelled, verdict::not_run);
        return;
    }
    m_control.cancel(requestId, targetRequestId(requestId),
                     m_requests.at(requestId).deadline + cancellation_lifetime);
}

bool target_pool::mayHaveRunningRequests(time_point now) const
{
    return !m_requests.empty() || m_admission.occupiedSlotsAt(now) > 0;
}

void target_pool::onHealth(const target_status &status)
{
    const time_point now = millis_clock::now();
    const int before = m_admission.allowance(now);
    m_admission.observeHealth(status, now);
    onAdmissionChanged(before, now);
    dispatchQueue();
}

void target_pool::onStopped(std::uint64_t requestId)
{
    m_counters.add("target_cancels_confirmed");
    m_admission.confirmStopped(requestId);
    if (const auto found = m_requests.find(requestId); found != m_requests.end())
        found->second.isStopped = true;
    dispatchQueue();
}

void target_pool::onUnreachable()
{
    const time_point now = millis_clock::now();
    const int before = m_admission.allowance(now);
    m_admission.observeUnreachable(now);
    onAdmissionChanged(before, now);
}

std::optional<error_kind> target_pool::toErrorKind(offer_result result) const
{
    switch (result) {
    case offer_result::queued:
        return std::nullopt;
    case offer_result::late:
        return error_kind::deadline_passed;
    case offer_result::draining:
        return error_kind::draining;
    case offer_result::queue_full:
    case offer_result::wait_too_long:
        return error_kind::overloaded;
    }
    return error_kind::overloaded;
}

void target_pool::dispatchQueue()
{
    if (m_closeReason)
        return;
    const time_point now = millis_clock::now();
    const int startableCount = m_admission.startableCount(now) - m_wokenCount;
    const int wokenCount = std::min(startableCount, static_cast<int>(m_idleConnections.size()));
    wakeIdleConnections(wokenCount);
    openConnections(startableCount - std::max(wokenCount, 0) - m_connectingCount, now);
}

void target_pool::wakeIdleConnections(int count)
{
    for (int i = 0; i < count; ++i) {
        idle_connection *idle = m_idleConnections.back();
        m_idleConnections.pop_back();
        idle->isWoken = true;
        ++m_wokenCount;
        idle->wake.notify();
    }
}

void target_pool::openConnections(int count, time_point now)
{
    for (int backlog = count; backlog > 0; --backlog) {
        if (now < m_connectBackoffUntil || !m_budget.mayOpen(now) || !shouldOpenConnection(backlog))
            return;
        m_budget.onOpened();
        ++m_connectingCount;
        startTask(m_executor, m_counters, "target_connection", connectionTask());
    }
}

// Whether the busy connections would take longer to serve `backlog` requests than it takes to open
// another connection.
bool target_pool::shouldOpenConnection(int backlog) const
{
    const auto serviceTime = m_admission.recentServiceTime();
    if (m_busyCount == 0 || !serviceTime)
        return true;
    return *serviceTime * backlog / m_busyCount >= m_lastConnectDuration;
}

void target_pool::onAdmissionChanged(int previousAllowance, time_point now)
{
    if (m_admission.phase() == admission_phase::draining)
        refuse(m_admission.clearQueue(), error_kind::draining);
    else if (m_admission.allowance(now) < previousAllowance)
        refuse(m_admission.removeUnservable(now), error_kind::overloaded);
    wakeTimer();
}

void target_pool::refuse(const std::vector<request_id> &requests, error_kind kind)
{
    if (!requests.empty())
        m_counters.add("target_requests_refused", requests.size());
    for (const request_id requestId : requests)
        failRequest(requestId, kind, verdict::not_run);
}

void target_pool::completeRequest(request_id requestId, leaf_response response)
{
    const auto found = m_requests.find(requestId);
    if (found == m_requests.end())
        return;
    response.id = found->second.request.id;
    response.queued = m_admission.waiting();
    const auto sink = std::move(found->second.sink);
    const auto byKey = m_idsByKey.find(found->second.key);
    if (byKey != m_idsByKey.end() && byKey->second == requestId)
        m_idsByKey.erase(byKey);
    m_requests.erase(found);
    sink->reply(std::move(response));
}

void target_pool::failRequest(request_id requestId, error_kind kind, verdict outcome)
{
    leaf_response response;
    response.error = kind;
    response.outcome = outcome;
    completeRequest(requestId, std::move(response));
}

asio::awaitable<void> target_pool::connectionTask()
{
    const auto self = shared_from_this();
    http_connection connection(m_executor);
    const bool connected = co_await connect(connection);
    if (!connected)
        co_return;
    co_await serveConnection(connection);
    dispatchQueue();
}

asio::awaitable<bool> target_pool::connect(http_connection &connection)
{
    const time_point began = millis_clock::now();
    const auto connected = co_await connection.connect(m_target.address, began + connect_timeout);
    const time_point now = millis_clock::now();
    --m_connectingCount;
    if (connected) {
        m_consecutiveConnectFailures = 0;
        m_lastConnectDuration = now - began;
        co_return true;
    }
    m_counters.add("target_connect_failed");
    m_budget.onClosed(now, now);
    onConnectFailed(now);
    co_return false;
}

void target_pool::onConnectFailed(time_point now)
{
    const int doublings = std::min(m_consecutiveConnectFailures++, max_connect_backoff_doublings);
    std::uniform_real_distribution<double> jitter(min_jitter, max_jitter);
    const double backoff = static_cast<double>(initial_connect_backoff.count() * (1 << doublings))
        * jitter(m_random);
    m_connectBackoffUntil = now + duration(static_cast<std::int64_t>(backoff));
    onUnreachable();
    // Without any connection, the queued requests cannot be sent and are refused as not run.
    if (m_budget.openCount() == 0)
        refuse(m_admission.clearQueue(), error_kind::target_lost);
}

asio::awaitable<void> target_pool::serveConnection(http_connection &connection)
{
    bool isReusable = true;
    while (isReusable && connection.isOpen()) {
        const auto next = m_closeReason ? std::nullopt : m_admission.startNext(millis_clock::now());
        if (next) {
            ++m_busyCount;
            dispatchQueue();
            co_await serveRequest(connection, *next);
            --m_busyCount;
        } else {
            isReusable = co_await waitForRequest(connection);
        }
    }
    const time_point now = millis_clock::now();
    if (connection.isOpen())
        m_budget.onClosed(now + normal_close_delay, now);
    connection.close();
}

asio::awaitable<bool> target_pool::waitForRequest(http_connection &connection)
{
    const time_point now = millis_clock::now();
    if (m_closeReason || m_budget.isExceeded(now))
        co_return false;
    idle_connection idle(m_executor);
    m_idleConnections.push_back(&idle);
    const time_point until = now + idle_timeout;
    co_await idle.wake.wait(until);
    if (idle.isWoken)
        --m_wokenCount;
    else
        std::erase(m_idleConnections, &idle);
    if (!connection.isUsable()) {
        m_counters.add("target_connections_closed_idle");
        connection.close();
        const time_point closed = millis_clock::now();
        m_budget.onClosed(closed, closed);
        co_return false;
    }
    const bool isExpired = !idle.isWoken && millis_clock::now() >= until;
    co_return !isExpired || m_budget.openCount() <= min_open_connections;
}

asio::awaitable<void> target_pool::serveRequest(http_connection &connection, request_id requestId)
{
    const time_point now = millis_clock::now();
    const auto found = m_requests.find(requestId);
    const leaf_request request = found->second.request;
    const time_point deadline = found->second.deadline;
    if (!m_ownership.maySend(m_key, now)) {
        m_admission.finish(requestId, leaf_result::unsent, now);
        failRequest(requestId, error_kind::not_owner, verdict::not_run);
        co_return;
    }
    m_counters.add("target_requests");
    const http_request message
        = encodeTargetRequest(request, targetRequestId(requestId), deadline - now);
    const auto exchanged = co_await connection.exchange(message, deadline);
    const time_point ended = millis_clock::now();
    if (!connection.isOpen()) {
        const bool isUnresponsive = !exchanged && exchanged.error().timedOut;
        if (isUnresponsive)
            m_counters.add("target_connections_silent");
        m_budget.onClosed(isUnresponsive ? ended + unresponsive_close_delay : ended, ended);
    }
    handleReply(requestId,
                exchanged ? decodeTargetReply(request, *exchanged)
                          : toTargetReply(exchanged.error()),
                ended);
}

void target_pool::handleReply(request_id requestId, const target_reply &reply, time_point now)
{
    const int before = m_admission.allowance(now);
    m_admission.observeReply(reply.status, now);
    m_admission.finish(requestId, reply.result, now);
    const tracked_request &request = m_requests.at(requestId);
    const bool mayStillRun
        = reply.result == leaf_result::lost || reply.result == leaf_result::timed_out;
    if (mayStillRun && request.isStopped)
        m_admission.confirmStopped(requestId);
    else if (mayStillRun)
        m_control.cancel(requestId, targetRequestId(requestId),
                         request.deadline + cancellation_lifetime);
    leaf_response response;
    response.error = reply.error;
    response.outcome = reply.outcome;
    response.snapshot = reply.snapshot;
    response.body = reply.body;
    completeRequest(requestId, std::move(response));
    startTimer();
    onAdmissionChanged(before, now);
    stopControlWhenIdle();
}

void target_pool::stopControlWhenIdle()
{
    if (m_closeReason && isIdle())
        m_control.stop();
}

void target_pool::startTimer()
{
    if (m_hasTimer) {
        wakeTimer();
        return;
    }
    m_hasTimer = true;
    startTask(m_executor, m_counters, "target_timer", timerTask());
}

void target_pool::wakeTimer()
{
    if (m_hasTimer && nextTimerExpiry(millis_clock::now()) < m_timerExpiry)
        m_timerWake.notify();
}

time_point target_pool::nextTimerExpiry(time_point now) const
{
    time_point next = m_admission.nextTimedChange(now);
    if (next == time_point::max())
        return next;
    if (m_admission.waiting() > 0)
        next = std::min(next, m_budget.nextReleaseTime(now));
    if (m_admission.waiting() > 0 && m_connectBackoffUntil > now)
        next = std::min(next, m_connectBackoffUntil);
    return std::max(next, now + duration(1));
}

asio::awaitable<void> target_pool::timerTask()
{
    const auto self = shared_from_this();
    m_timerExpiry = nextTimerExpiry(millis_clock::now());
    while (m_timerExpiry != time_point::max()) {
        co_await m_timerWake.wait(m_timerExpiry);
        const time_point now = millis_clock::now();
        for (const request_id requestId : m_admission.removeExpired(now))
            failRequest(requestId, error_kind::deadline_passed, verdict::not_run);
        dispatchQueue();
        stopControlWhenIdle();
        m_timerExpiry = nextTimerExpiry(millis_clock::now());
    }
    m_hasTimer = false;
}

std::string target_pool::targetRequestId(request_id requestId) const
{
    return m_poolId + "-" + std::to_string(requestId);
}

} // namespace gooseberrymoor
