#include "gooseberrymoor/forward/leaf_pool.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/forward/caller_request.h"
#include "gooseberrymoor/forward/leaf_completion_queue.h"
#include "gooseberrymoor/forward/leaf_protocol.h"
#include "gooseberrymoor/http/byte_budget.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/http/http_failure.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration max_connect_time { 400 };
constexpr duration max_idle_time { 20'000 };
constexpr duration non_subset_idle_timeout { 1000 }; // of connections outside of the subset
constexpr duration idle_close_margin { 600 }; // closes before the target's idle timeout
constexpr duration reply_margin { 60 }; // transit time of a reply sent right at the deadline
constexpr std::uint64_t max_reply_body_bytes = 1024ULL * 1024;
constexpr std::size_t max_held_reply_bytes = 32ULL * 1024 * 1024; // of all replies together

// How long to keep a connection idle after `reply`.
duration idleTimeOf(const http_reply &reply)
{
    if (reply.keepAliveSeconds <= 0)
        return max_idle_time;
    const duration offered = std::chrono::seconds(reply.keepAliveSeconds);
    return std::min(max_idle_time, offered - idle_close_margin);
}

// Whether `target` shuts down, by its entry or by a reply.
bool isLeaving(const known_replica &target)
{
    return target.entry.draining || target.backpressure.isLeaving();
}

} // namespace

struct leaf_pool::pooled_connection
{
    pooled_connection(asio::any_io_executor executor, reply_limits limits)
        : http(executor, std::move(limits)), wake(std::move(executor))
    {
    }

    // Whether the target refused `request` on this connection. A late duplicate of that refusal
    // looks like the reply to the same request sent again, as both have its attempt id.
    bool hasRefused(const caller_request &request) const;

    // Records that the target refused `request` on this connection.
    void addRefused(const std::shared_ptr<const caller_request> &request);

    http_connection http;
    signal wake;
    std::vector<std::weak_ptr<const caller_request>> refused; // expired ones are over
    std::shared_ptr<leaf_call> currentCall;
    std::shared_ptr<leaf_call> assignedCall; // set by `send` while the connection is idle
    time_point closeAt {}; // idle timeout
    time_point idleSince {};
    bool shouldClose = false;
    bool isConnected = false;
};

bool leaf_pool::pooled_connection::hasRefused(const caller_request &request) const
{
    return std::any_of(refused.begin(), refused.end(),
                       [&](const auto &each) { return each.lock().get() == &request; });
}

void leaf_pool::pooled_connection::addRefused(const std::shared_ptr<const caller_request> &request)
{
    std::erase_if(refused, [](const auto &each) { return each.expired(); });
    refused.push_back(request);
}

struct leaf_pool::target_connections
{
    std::shared_ptr<known_replica> target;
    std::set<std::shared_ptr<pooled_connection>> open;
    std::vector<std::shared_ptr<pooled_connection>> idle; // most recently used at the back
    std::deque<std::shared_ptr<leaf_call>> queuedCalls;
};

leaf_pool::leaf_pool(asio::any_io_executor executor, leaf_pool_dependencies dependencies,
                     std::uint32_t seed)
    : m_executor(std::move(executor)), m_protocol(dependencies.protocol),
      m_replicas(dependencies.replicas), m_subset(dependencies.subset), m_log(dependencies.log),
      m_events(dependencies.events), m_random(seed)
{
    m_replyLimits.bodyBytes = max_reply_body_bytes;
    m_replyLimits.bodyBudget = std::make_shared<byte_budget>(max_held_reply_bytes);
}

leaf_pool::~leaf_pool() = default;

void leaf_pool::send(std::shared_ptr<leaf_call> call)
{
    call->ticket = call->target->health.onSent(millis_clock::now());
    const target_connections_ptr connections = connectionsTo(call->target);
    if (const auto idle = findIdle(*connections, *call->request)) {
        assign(*connections, idle, std::move(call));
        return;
    }
    if (connections->open.size() < m_subset.connectionLimit(*call->target)) {
        startConnection(connections, std::move(call));
        return;
    }
    if (!connections->idle.empty()) {
        const auto idle = connections->idle.back(); // refused the request; connects anew for it
        assign(*connections, idle, std::move(call));
        return;
    }
    m_events.add("leaf_calls_queued");
    connections->queuedCalls.push_back(std::move(call));
}

// Returns the most recently used idle connection on which `request` has not been refused; null if
// there is none.
leaf_pool::pooled_connection_ptr leaf_pool::findIdle(const target_connections &target,
                                                     const caller_request &request)
{
    const auto found = std::find_if(target.idle.rbegin(), target.idle.rend(),
                                    [&](const auto &each) { return !each->hasRefused(request); });
    return found == target.idle.rend() ? nullptr : *found;
}

// Hands `call` to the idle connection `idle`.
void leaf_pool::assign(target_connections &target, const pooled_connection_ptr &idle,
                       std::shared_ptr<leaf_call> call)
{
    std::erase(target.idle, idle);
    idle->assignedCall = std::move(call);
    idle->wake.notify();
}

void leaf_pool::cancelQueued(const std::shared_ptr<leaf_call> &call)
{
    if (!removeQueued(call))
        return;
    leaf_call_result result;
    result.outcome = attempt_outcome::abandoned;
    complete(*call, std::move(result));
}

void leaf_pool::withdrawQueued(const std::shared_ptr<leaf_call> &call)
{
    if (removeQueued(call))
        completeUnsent(*call);
}

// Returns whether `call` was queued.
bool leaf_pool::removeQueued(const std::shared_ptr<leaf_call> &call)
{
    const auto found = m_targets.find(call->target.get());
    return found != m_targets.end() && std::erase(found->second->queuedCalls, call) > 0;
}

// Removes and returns the queued call with the highest priority, in FIFO order within a priority;
// null if the queue is empty.
std::shared_ptr<leaf_call> leaf_pool::takeQueuedCall(target_connections &target)
{
    if (target.queuedCalls.empty())
        return nullptr;
    const auto chosen = std::min_element(
        target.queuedCalls.begin(), target.queuedCalls.end(),
        [](const auto &left, const auto &right) { return left->priority < right->priority; });
    auto call = std::move(*chosen);
    target.queuedCalls.erase(chosen);
    return call;
}

void leaf_pool::cancel(const std::shared_ptr<leaf_call> &call)
{
    cancelQueued(call);
    call->cancelled = true;
    const auto found = m_targets.find(call->target.get());
    if (found == m_targets.end())
        return;
    for (const auto &each : found->second->open) {
        if (each->currentCall == call)
            each->http.close();
    }
}

void leaf_pool::reconcile()
{
    const time_point now = millis_clock::now();
    for (auto &[key, connections] : m_targets) {
        if (!m_replicas.isEligible(*connections->target))
            failQueuedCalls(*connections);
        if (isLeaving(*connections->target))
            closeIdle(*connections, time_point::max());
        if (!m_subset.holds(*connections->target))
            closeIdle(*connections, now - non_subset_idle_timeout);
    }
    closeRemovedTargets();
    for (const auto &[id, target] : m_replicas.all()) {
        if (!acceptsRequests(*target) || !m_subset.holds(*target))
            continue;
        const target_connections_ptr connections = connectionsTo(target);
        if (connections->open.empty() && !target->health.isSuspect(now))
            startConnection(connections, nullptr);
    }
}

// Whether `target` is eligible and has not asked for a pause.
bool leaf_pool::acceptsRequests(const known_replica &target) const
{
    return m_replicas.isEligible(target) && !target.backpressure.isBackingOff(millis_clock::now());
}

// Records what a target asked for in its reply. If it wants no more requests, its queued calls go
// elsewhere, and if it is leaving, its idle connections close.
void leaf_pool::applySignals(target_connections &target, const reply_signals &signals,
                             unsigned status)
{
    known_replica &replica = *target.target;
    const bool hasSignal = signals.isLeaving || signals.retryAfter || signals.isRetryAfterInvalid;
    if (!hasSignal && !replica.backpressure.isSet())
        return;
    const time_point now = millis_clock::now();
    if (signals.isRetryAfterInvalid) {
        m_events.add("leaf_retry_after_invalid");
        m_log.write("target_retry_after_invalid", { { "target", replica.entry.id } });
    }
    const double jitter = std::uniform_real_distribution<double>(0, 1)(m_random);
    const backpressure_change change = m_replicas.onReply(replica, signals, jitter, now);
    if (change.leavingStarted) {
        m_events.add("leaf_leaving_notices");
        m_log.write("target_leaving",
                    { { "target", replica.entry.id },
                      { "service", replica.entry.service },
                      { "status", std::to_string(status) } });
        closeIdle(target, time_point::max());
    }
    if (change.backoffStarted) {
        const duration left = replica.backpressure.backoffUntil() - now;
        m_events.add("leaf_backoffs");
        m_log.write("target_backing_off",
                    { { "target", replica.entry.id },
                      { "service", replica.entry.service },
                      { "status", std::to_string(status) },
                      { "for_ms", std::to_string(left.count()) } });
    }
    if (!acceptsRequests(replica))
        failQueuedCalls(target);
}

// Completes all queued calls as not run.
void leaf_pool::failQueuedCalls(target_connections &target)
{
    const auto queued = std::move(target.queuedCalls);
    target.queuedCalls.clear();
    for (const auto &each : queued)
        completeUnsent(*each);
}

void leaf_pool::closeIdle()
{
    for (auto &[key, connections] : m_targets)
        closeIdle(*connections, time_point::max());
}

// Closes connections that have been idle since `since` or earlier.
void leaf_pool::closeIdle(target_connections &target, time_point since)
{
    for (const auto &each : target.idle) {
        if (each->idleSince > since)
            continue;
        each->shouldClose = true;
        each->wake.notify();
    }
    std::erase_if(target.idle, [](const auto &each) { return each->shouldClose; });
}

// Closes idle connections to removed targets, and forgets a removed target once it has no
// connection.
void leaf_pool::closeRemovedTargets()
{
    for (auto each = m_targets.begin(); each != m_targets.end();) {
        target_connections &connections = *each->second;
        if (connections.target->removed)
            closeIdle(connections, time_point::max());
        if (connections.target->removed && connections.open.empty())
            each = m_targets.erase(each);
        else
            ++each;
    }
}

std::size_t leaf_pool::openConnections() const
{
    std::size_t open = 0;
    for (const auto &[key, connections] : m_targets)
        open += connections->open.size();
    return open;
}

leaf_pool::target_connections_ptr
leaf_pool::connectionsTo(const std::shared_ptr<known_replica> &target)
{
    target_connections_ptr &connections = m_targets[target.get()];
    if (!connections) {
        connections = std::make_shared<target_connections>();
        connections->target = target;
    }
    return connections;
}

bool leaf_pool::isConnected(const target_connections &target)
{
    return std::any_of(target.open.begin(), target.open.end(),
                       [](const auto &each) { return each->isConnected; });
}

void leaf_pool::startConnection(const target_connections_ptr &target,
                                std::shared_ptr<leaf_call> firstCall)
{
    const auto connection = std::make_shared<pooled_connection>(m_executor, m_replyLimits);
    target->open.insert(connection); // counts towards the limit before its task starts
    startTask(m_executor, m_events, "leaf_connection",
              runConnection(target, connection, std::move(firstCall)));
}

asio::awaitable<void> leaf_pool::runConnection(target_connections_ptr target,
                                               pooled_connection_ptr self,
                                               std::shared_ptr<leaf_call> call)
{
    try {
        co_await serveCalls(target, self, std::move(call));
    } catch (const std::exception &error) {
        onException(*target, *self, error);
    }
    const bool wasConnected = self->isConnected;
    self->http.close();
    target->open.erase(self);
    std::erase(target->idle, self);
    // If the target is unreachable, fail the queued calls now instead of letting each one wait for
    // its own connection attempt.
    if (!wasConnected && !isConnected(*target))
        failQueuedCalls(*target);
    else if (auto queued = takeQueuedCall(*target))
        startConnection(target, std::move(queued));
}

// Performs calls on a connection until it should be closed; first `call`, if there is one.
asio::awaitable<void> leaf_pool::serveCalls(target_connections_ptr target,
                                            pooled_connection_ptr self,
                                            std::shared_ptr<leaf_call> call)
{
    bool usable = true;
    if (!call)
        usable = co_await connect(self, *target->target, millis_clock::now() + max_connect_time);
    while (usable) {
        if (!call)
            call = co_await nextCall(target, self);
        if (!call)
            break;
        usable = co_await performCall(target, self, call);
        call.reset();
    }
}

// Logs an exception that ended the task of a connection, and completes its call as lost.
void leaf_pool::onException(const target_connections &target, pooled_connection &connection,
                            const std::exception &error)
{
    m_events.add("leaf_connection_exceptions");
    m_log.write("target_connection_failed",
                { { "target", target.target->entry.id }, { "reason", error.what() } });
    const auto call = std::move(connection.currentCall);
    if (call)
        completeWithFailure(*call, { verdict::may_have_run, false, error.what() });
}

// Waits for the next call for an open connection; null if the connection should be closed.
asio::awaitable<std::shared_ptr<leaf_call>> leaf_pool::nextCall(target_connections_ptr target,
                                                                pooled_connection_ptr self)
{
    if (auto queued = takeQueuedCall(*target))
        co_return queued;
    self->idleSince = millis_clock::now();
    target->idle.push_back(self);
    while (!self->assignedCall && !self->shouldClose && !isLeaving(*target->target)
           && millis_clock::now() < self->closeAt)
        co_await self->wake.wait(self->closeAt);
    std::erase(target->idle, self);
    co_return std::move(self->assignedCall);
}

// Performs `call`; returns whether the connection can be reused.
asio::awaitable<bool> leaf_pool::performCall(target_connections_ptr target,
                                             pooled_connection_ptr self,
                                             std::shared_ptr<leaf_call> call)
{
    if (!mayBeSent(*call)) {
        completeUnsent(*call);
        co_return self->http.isOpen();
    }
    self->currentCall = call;
    const bool connected = co_await ensureConnected(self, *call);
    if (!connected || !mayBeSent(*call)) {
        self->currentCall.reset();
        completeUnsent(*call);
        co_return connected && !call->cancelled;
    }
    const duration remaining = call->deadline - millis_clock::now();
    http_request message = m_protocol.encode(*call->request, call->target->entry, remaining);
    const time_point limit = call->deadline + reply_margin;
    auto reply = co_await self->http.exchange(std::move(message), limit);
    if (!reply) {
        self->currentCall.reset();
        completeWithFailure(*call, reply.error());
        co_return false;
    }
    self->closeAt = millis_clock::now() + idleTimeOf(*reply);
    const bool keep = !reply->closeAfter && !reply->hasTrailingBytes;
    leaf_call_result result = m_protocol.decode(std::move(*reply), call->request->attemptId);
    self->currentCall.reset();
    // After a reply to another request, requests and replies of the connection may be out of step.
    const bool isMismatched = result.isMismatched;
    if (isMismatched)
        m_events.add("leaf_foreign_replies");
    if (hasNotRun(result.outcome))
        self->addRefused(call->request);
    const reply_signals signals = result.signals;
    const unsigned status = result.reply.status;
    complete(*call, std::move(result));
    applySignals(*target, signals, status);
    co_return keep && !isMismatched && self->http.isOpen();
}

// Whether `call` is still wanted, has time left, and its target accepts requests. To be asked again
// after each wait.
bool leaf_pool::mayBeSent(const leaf_call &call) const
{
    return !call.cancelled && millis_clock::now() < std::min(call.deadline, call.sendBefore)
        && acceptsRequests(*call.target);
}

// Connects, or reconnects if the target has closed the connection or refused the request on it.
asio::awaitable<bool> leaf_pool::ensureConnected(pooled_connection_ptr self, leaf_call &call)
{
    const bool wasRefused = self->hasRefused(*call.request);
    if (self->http.isUsable() && !wasRefused)
        co_return true;
    if (wasRefused)
        m_events.add("leaf_reconnects_after_refusal");
    self->http.close();
    self->refused.clear();
    const time_point limit = std::min(call.deadline, millis_clock::now() + max_connect_time);
    co_return co_await connect(self, *call.target, limit);
}

// Completes a call that was not sent: as `abandoned` if it was cancelled, otherwise as
// `unreachable`.
void leaf_pool::completeUnsent(leaf_call &call)
{
    leaf_call_result result;
    result.outcome = call.cancelled ? attempt_outcome::abandoned : attempt_outcome::unreachable;
    complete(call, std::move(result));
}

void leaf_pool::completeWithFailure(leaf_call &call, const http_failure &failure)
{
    if (failure.isTooLarge) {
        m_events.add("leaf_replies_too_large");
        m_log.write("target_reply_too_large",
                    { { "target", call.target->entry.id }, { "reason", failure.reason } });
    }
    leaf_call_result result;
    if (call.cancelled)
        result.outcome = attempt_outcome::abandoned;
    else if (failure.timedOut)
        result.outcome = attempt_outcome::timed_out;
    else if (failure.outcome == verdict::not_run)
        result.outcome = attempt_outcome::unreachable;
    complete(call, std::move(result));
}

asio::awaitable<bool> leaf_pool::connect(pooled_connection_ptr self, known_replica &target,
                                         time_point deadline)
{
    m_events.add("leaf_connections_opened");
    const auto connected = co_await self->http.connect(target.entry.address, deadline);
    self->closeAt = millis_clock::now() + max_idle_time;
    self->isConnected = connected.has_value();
    if (!connected)
        m_events.add("leaf_connects_failed");
    co_return connected.has_value();
}

void leaf_pool::complete(leaf_call &call, leaf_call_result result)
{
    // A backoff takes the place of what a failure costs.
    const attempt_outcome observed
        = result.signals.retryAfter ? attempt_outcome::abandoned : result.outcome;
    call.target->health.onEnded(call.ticket, observed, result.load, millis_clock::now());
    m_events.add("leaf_calls_" + std::string(nameOf(result.outcome)));
    call.completionQueue->put(
        { call.shard, call.attempt, call.target->entry.id, std::move(result) });
}

} // namespace gooseberrymoor
