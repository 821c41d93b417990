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
constexpr duration idle_connection_life { 30'000 };
constexpr int kept_connections = 2; // that stay open while idle
constexpr duration orderly_close { 1000 }; // until a target has closed what its owner closed
constexpr duration silent_close { 10'000 }; // the same for a connection gone silent
constexpr duration first_connect_pause { 50 }; // after a failed connect; doubled with each in a row
constexpr int most_connect_doublings = 5;
constexpr double least_jitter = 0.5;
constexpr double most_jitter = 1.5;
constexpr duration cancel_life { 1000 }; // after the deadline of a request

std::uint64_t randomNumber()
{
    static thread_local std::mt19937_64 generator { std::random_device {}() };
    return generator();
}

} // namespace

target_pool::target_pool(asio::any_io_executor executor, std::string service, target_config target,
                         target_limits limits, const target_ownership &ownership, counters &events)
    : m_executor(executor), m_key(service + "/" + target.name), m_target(std::move(target)),
      m_ownership(ownership), m_events(events),
      m_admission(limits, millis_clock::now(), static_cast<std::uint32_t>(randomNumber())),
      m_budget(limits.connections), m_control(executor, m_target.address, *this, m_budget, events),
      m_timerWake(executor), m_poolId(std::to_string(randomNumber())),
      m_random(static_cast<std::uint32_t>(randomNumber()))
{
}

target_pool::~target_pool() = default;

void target_pool::open()
{
    if (m_closedWith)
        m_admission.observeReturnToService(millis_clock::now());
    m_closedWith.reset();
    m_control.start(shared_from_this());
}

void target_pool::close(error_kind reason)
{
    m_closedWith = reason;
    refuse(m_admission.clearQueue(), reason);
    for (idle_connection *each : m_idle)
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
    pump();
}

void target_pool::submit(const std::string &origin, leaf_request request,
                         std::shared_ptr<leaf_reply_sink> sink)
{
    const time_point now = millis_clock::now();
    const time_point deadline = now + request.timeout;
    const ticket which = ++m_lastTicket;
    const request_key key { origin, request.id };
    m_works[which] = { key, std::move(request), deadline, std::move(sink) };
    if (!m_tickets.emplace(key, which).second) {
        m_events.add("leaf_requests_duplicate");
        finishError(which, error_kind::bad_request, verdict::may_have_run);
        return;
    }
    if (m_closedWith) {
        finishError(which, *m_closedWith, verdict::not_run);
        return;
    }
    if (now < m_connectPausedUntil && m_budget.open() == 0) {
        finishError(which, error_kind::target_lost, verdict::not_run);
        return;
    }
    if (const auto refusal = refusalOf(m_admission.offer(which, deadline, now))) {
        m_events.add("target_requests_refused");
        finishError(which, *refusal, verdict::not_run);
        return;
    }
    startTimer();
    pump();
}

void target_pool::cancel(const std::string &origin, std::uint64_t id)
{
    const auto found = m_tickets.find({ origin, id });
    if (found == m_tickets.end())
        return;
    const ticket which = found->second;
    if (m_admission.withdraw(which)) {
        finishError(which, error_kind::cancelled, verdict::not_run);
        return;
    }
    m_control.cancel(which, targetRequestId(which), m_works.at(which).deadline + cancel_life);
}

bool target_pool::mayHaveRunningRequests(time_point now) const
{
    return !m_works.empty() || m_admission.occupiedSlotsAt(now) > 0;
}

void target_pool::onHealth(const target_status &status)
{
    const time_point now = millis_clock::now();
    const int before = m_admission.allowance(now);
    m_admission.observeHealth(status, now);
    afterChange(before, now);
    pump();
}

void target_pool::onStopped(std::uint64_t which)
{
    m_events.add("target_cancels_confirmed");
    m_admission.confirmStopped(which);
    if (const auto found = m_works.find(which); found != m_works.end())
        found->second.isStopped = true;
    pump();
}

void target_pool::onUnreachable()
{
    const time_point now = millis_clock::now();
    const int before = m_admission.allowance(now);
    m_admission.observeUnreachable(now);
    afterChange(before, now);
}

std::optional<error_kind> target_pool::refusalOf(offer_result result) const
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

void target_pool::pump()
{
    if (m_closedWith)
        return;
    const time_point now = millis_clock::now();
    const int startableCount = m_admission.startableCount(now) - m_called;
    const int called = std::min(startableCount, static_cast<int>(m_idle.size()));
    callIdle(called);
    openConnections(startableCount - std::max(called, 0) - m_connecting, now);
}

void target_pool::callIdle(int wanted)
{
    for (int i = 0; i < wanted; ++i) {
        idle_connection *called = m_idle.back();
        m_idle.pop_back();
        called->isCalled = true;
        ++m_called;
        called->wake.notify();
    }
}

void target_pool::openConnections(int wanted, time_point now)
{
    for (int backlog = wanted; backlog > 0; --backlog) {
        if (now < m_connectPausedUntil || !m_budget.mayOpen(now) || !isWorthOpening(backlog))
            return;
        m_budget.onOpened();
        ++m_connecting;
        startTask(m_executor, m_events, "target_connection", connectionTask());
    }
}

// Whether the open connections would take longer to serve `backlog` than one more takes to open.
bool target_pool::isWorthOpening(int backlog) const
{
    const auto answerTime = m_admission.recentServiceTime();
    if (m_busy == 0 || !answerTime)
        return true;
    return *answerTime * backlog / m_busy >= m_connectTime;
}

void target_pool::afterChange(int allowanceBefore, time_point now)
{
    if (m_admission.phase() == admission_phase::draining)
        refuse(m_admission.clearQueue(), error_kind::draining);
    else if (m_admission.allowance(now) < allowanceBefore)
        refuse(m_admission.removeUnservable(now), error_kind::overloaded);
    wakeTimer();
}

void target_pool::refuse(const std::vector<ticket> &requests, error_kind kind)
{
    if (!requests.empty())
        m_events.add("target_requests_refused", requests.size());
    for (const ticket which : requests)
        finishError(which, kind, verdict::not_run);
}

void target_pool::finishWork(ticket which, leaf_response response)
{
    const auto found = m_works.find(which);
    if (found == m_works.end())
        return;
    response.id = found->second.request.id;
    response.queued = m_admission.waiting();
    const auto sink = std::move(found->second.sink);
    const auto known = m_tickets.find(found->second.key);
    if (known != m_tickets.end() && known->second == which)
        m_tickets.erase(known);
    m_works.erase(found);
    sink->reply(std::move(response));
}

void target_pool::finishError(ticket which, error_kind kind, verdict outcome)
{
    leaf_response response;
    response.error = kind;
    response.outcome = outcome;
    finishWork(which, std::move(response));
}

asio::awaitable<void> target_pool::connectionTask()
{
    const auto self = shared_from_this();
    http_connection connection(m_executor);
    const bool connected = co_await connect(connection);
    if (!connected)
        co_return;
    co_await serveConnection(connection);
    pump();
}

asio::awaitable<bool> target_pool::connect(http_connection &connection)
{
    const time_point began = millis_clock::now();
    const auto connected = co_await connection.connect(m_target.address, began + connect_timeout);
    const time_point now = millis_clock::now();
    --m_connecting;
    if (connected) {
        m_connectFailures = 0;
        m_connectTime = now - began;
        co_return true;
    }
    m_events.add("target_connect_failed");
    m_budget.onClosed(now, now);
    onConnectFailed(now);
    co_return false;
}

void target_pool::onConnectFailed(time_point now)
{
    const int doublings = std::min(m_connectFailures++, most_connect_doublings);
    std::uniform_real_distribution<double> jitter(least_jitter, most_jitter);
    const double pause
        = static_cast<double>(first_connect_pause.count() * (1 << doublings)) * jitter(m_random);
    m_connectPausedUntil = now + duration(static_cast<std::int64_t>(pause));
    onUnreachable();
    // Without a connection nothing that waits was sent: it goes back as not run.
    if (m_budget.open() == 0)
        refuse(m_admission.clearQueue(), error_kind::target_lost);
}

asio::awaitable<void> target_pool::serveConnection(http_connection &connection)
{
    bool isKept = true;
    while (isKept && connection.isOpen()) {
        const auto next = m_closedWith ? std::nullopt : m_admission.startNext(millis_clock::now());
        if (next) {
            ++m_busy;
            pump();
            co_await serveTicket(connection, *next);
            --m_busy;
        } else {
            isKept = co_await waitForWork(connection);
        }
    }
    const time_point now = millis_clock::now();
    if (connection.isOpen())
        m_budget.onClosed(now + orderly_close, now);
    connection.close();
}

asio::awaitable<bool> target_pool::waitForWork(http_connection &connection)
{
    const time_point now = millis_clock::now();
    if (m_closedWith || m_budget.isExceeded(now))
        co_return false;
    idle_connection idle(m_executor);
    m_idle.push_back(&idle);
    const time_point until = now + idle_connection_life;
    co_await idle.wake.wait(until);
    if (idle.isCalled)
        --m_called;
    else
        std::erase(m_idle, &idle);
    if (!connection.isUsable()) {
        m_events.add("target_connections_closed_idle");
        connection.close();
        const time_point closed = millis_clock::now();
        m_budget.onClosed(closed, closed);
        co_return false;
    }
    const bool isOld = !idle.isCalled && millis_clock::now() >= until;
    co_return !isOld || m_budget.open() <= kept_connections;
}

asio::awaitable<void> target_pool::serveTicket(http_connection &connection, ticket which)
{
    const time_point now = millis_clock::now();
    const auto found = m_works.find(which);
    const leaf_request request = found->second.request;
    const time_point deadline = found->second.deadline;
    if (!m_ownership.maySend(m_key, now)) {
        m_admission.finish(which, leaf_result::unsent, now);
        finishError(which, error_kind::not_owner, verdict::not_run);
        co_return;
    }
    m_events.add("target_requests");
    const http_request message
        = encodeTargetRequest(request, targetRequestId(which), deadline - now);
    const auto exchanged = co_await connection.exchange(message, deadline);
    const time_point ended = millis_clock::now();
    if (!connection.isOpen()) {
        const bool isSilent = !exchanged && exchanged.error().timedOut;
        if (isSilent)
            m_events.add("target_connections_silent");
        m_budget.onClosed(isSilent ? ended + silent_close : ended, ended);
    }
    settle(which,
           exchanged ? decodeTargetReply(request, *exchanged) : toTargetReply(exchanged.error()),
           ended);
}

void target_pool::settle(ticket which, const target_reply &reply, time_point now)
{
    const int before = m_admission.allowance(now);
    m_admission.observeReply(reply.status, now);
    m_admission.finish(which, reply.result, now);
    const work &ended = m_works.at(which);
    const bool mayRunOn
        = reply.result == leaf_result::lost || reply.result == leaf_result::timed_out;
    if (mayRunOn && ended.isStopped)
        m_admission.confirmStopped(which);
    else if (mayRunOn)
        m_control.cancel(which, targetRequestId(which), ended.deadline + cancel_life);
    leaf_response response;
    response.error = reply.error;
    response.outcome = reply.outcome;
    response.snapshot = reply.snapshot;
    response.body = reply.body;
    finishWork(which, std::move(response));
    startTimer();
    afterChange(before, now);
    stopControlWhenIdle();
}

void target_pool::stopControlWhenIdle()
{
    if (m_closedWith && isIdle())
        m_control.stop();
}

void target_pool::startTimer()
{
    if (m_hasTimer) {
        wakeTimer();
        return;
    }
    m_hasTimer = true;
    startTask(m_executor, m_events, "target_timer", timerTask());
}

void target_pool::wakeTimer()
{
    if (m_hasTimer && nextTimer(millis_clock::now()) < m_timerAt)
        m_timerWake.notify();
}

time_point target_pool::nextTimer(time_point now) const
{
    time_point next = m_admission.nextTimedChange(now);
    if (next == time_point::max())
        return next;
    if (m_admission.waiting() > 0)
        next = std::min(next, m_budget.nextReleaseTime(now));
    if (m_admission.waiting() > 0 && m_connectPausedUntil > now)
        next = std::min(next, m_connectPausedUntil);
    return std::max(next, now + duration(1));
}

asio::awaitable<void> target_pool::timerTask()
{
    const auto self = shared_from_this();
    m_timerAt = nextTimer(millis_clock::now());
    while (m_timerAt != time_point::max()) {
        co_await m_timerWake.wait(m_timerAt);
        const time_point now = millis_clock::now();
        for (const ticket which : m_admission.removeExpired(now))
            finishError(which, error_kind::deadline_passed, verdict::not_run);
        pump();
        stopControlWhenIdle();
        m_timerAt = nextTimer(millis_clock::now());
    }
    m_hasTimer = false;
}

std::string target_pool::targetRequestId(ticket which) const
{
    return m_poolId + "-" + std::to_string(which);
}

} // namespace gooseberrymoor
