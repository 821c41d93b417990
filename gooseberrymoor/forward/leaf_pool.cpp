#include "gooseberrymoor/forward/leaf_pool.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/forward/caller_request.h"
#include "gooseberrymoor/forward/leaf_completion_queue.h"
#include "gooseberrymoor/forward/leaf_protocol.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/http/http_failure.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration max_connect_time { 400 };
constexpr duration max_idle_time { 20'000 };
constexpr duration unheld_idle_time { 1000 }; // to targets outside of the subset
constexpr int millis_per_second = 1000;
constexpr duration idle_close_margin { 600 }; // closes before the target's idle timeout
constexpr duration reply_margin { 60 }; // for a reply that the target sends at the deadline

// How long to keep a connection idle after `reply`.
duration idleTimeOf(const http_reply &reply)
{
    if (reply.keepAliveSeconds <= 0)
        return max_idle_time;
    return std::min(max_idle_time,
                    duration(reply.keepAliveSeconds * millis_per_second) - idle_close_margin);
}

} // namespace

struct leaf_pool::pooled_connection
{
    explicit pooled_connection(asio::any_io_executor executor)
        : http(executor), wake(std::move(executor))
    {
    }

    http_connection http;
    signal wake;
    std::shared_ptr<leaf_call> currentCall;
    std::shared_ptr<leaf_call> assignedCall; // set by `send` while the connection is idle
    time_point closeAt {}; // idle timeout
    time_point idleSince {};
    bool shouldClose = false;
    bool isConnected = false;
};

struct leaf_pool::target_connections
{
    std::shared_ptr<known_replica> target;
    std::set<std::shared_ptr<pooled_connection>> open;
    std::vector<std::shared_ptr<pooled_connection>> idle; // most recently used at the back
    std::deque<std::shared_ptr<leaf_call>> queuedCalls;
};

leaf_pool::leaf_pool(asio::any_io_executor executor, const leaf_protocol &protocol,
                     const replica_subset &subset, counters &events)
    : m_executor(std::move(executor)), m_protocol(protocol), m_subset(subset), m_events(events)
{
}

leaf_pool::~leaf_pool() = default;

void leaf_pool::send(std::shared_ptr<leaf_call> call)
{
    call->ticket = call->target->health.onSent(millis_clock::now());
    const target_connections_ptr connections = connectionsTo(call->target);
    if (!connections->idle.empty()) {
        const auto chosen = connections->idle.back();
        connections->idle.pop_back();
        chosen->assignedCall = std::move(call);
        chosen->wake.notify();
        return;
    }
    if (connections->open.size() < m_subset.connectionLimit(*call->target)) {
        startConnection(connections, std::move(call));
        return;
    }
    m_events.add("leaf_calls_queued");
    connections->queuedCalls.push_back(std::move(call));
}

void leaf_pool::cancelQueued(const std::shared_ptr<leaf_call> &call)
{
    const auto found = m_targets.find(call->target.get());
    if (found == m_targets.end() || std::erase(found->second->queuedCalls, call) == 0)
        return;
    leaf_call_result result;
    result.outcome = attempt_outcome::abandoned;
    complete(*call, std::move(result));
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

void leaf_pool::reconcile(const replica_set &replicas)
{
    const time_point now = millis_clock::now();
    for (auto &[key, connections] : m_targets) {
        if (!replicas.isEligible(*connections->target))
            failQueuedCalls(*connections);
        if (!m_subset.holds(*connections->target))
            closeIdle(*connections, now - unheld_idle_time);
    }
    closeRemovedTargets();
    for (const auto &[id, target] : replicas.all()) {
        if (!replicas.isEligible(*target) || !m_subset.holds(*target))
            continue;
        const target_connections_ptr connections = connectionsTo(target);
        if (connections->open.empty() && !target->health.isSuspect(now))
            startConnection(connections, nullptr);
    }
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
    const auto connection = std::make_shared<pooled_connection>(m_executor);
    target->open.insert(connection); // counts towards the limit before its task starts
    startTask(m_executor, m_events, "leaf_connection",
              runConnection(target, connection, std::move(firstCall)));
}

asio::awaitable<void> leaf_pool::runConnection(target_connections_ptr target,
                                               std::shared_ptr<pooled_connection> self,
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
        usable = co_await performCall(self, call);
        call.reset();
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

// Waits for the next call for an open connection; null if the connection should be closed.
asio::awaitable<std::shared_ptr<leaf_call>>
leaf_pool::nextCall(target_connections_ptr target, std::shared_ptr<pooled_connection> self)
{
    if (auto queued = takeQueuedCall(*target))
        co_return queued;
    self->idleSince = millis_clock::now();
    target->idle.push_back(self);
    while (!self->assignedCall && !self->shouldClose && millis_clock::now() < self->closeAt)
        co_await self->wake.wait(self->closeAt);
    std::erase(target->idle, self);
    co_return std::move(self->assignedCall);
}

// Performs `call`; returns whether the connection can be reused.
asio::awaitable<bool> leaf_pool::performCall(std::shared_ptr<pooled_connection> self,
                                             std::shared_ptr<leaf_call> call)
{
    if (call->cancelled || millis_clock::now() >= call->deadline) {
        completeUnsent(*call);
        co_return self->http.isOpen();
    }
    self->currentCall = call;
    const bool connected = co_await ensureConnected(self, *call);
    if (!connected || call->cancelled) {
        self->currentCall.reset();
        completeUnsent(*call);
        co_return false;
    }
    const duration remaining = call->deadline - millis_clock::now();
    http_request message = m_protocol.encode(*call->request, call->target->entry, remaining);
    const time_point limit = call->deadline + reply_margin;
    auto reply = co_await self->http.exchange(std::move(message), limit);
    self->currentCall.reset();
    if (!reply) {
        completeWithFailure(*call, reply.error());
        co_return false;
    }
    self->closeAt = millis_clock::now() + idleTimeOf(*reply);
    const bool keep = !reply->closeAfter && !reply->hasTrailingBytes;
    leaf_call_result result = m_protocol.decode(std::move(*reply), call->request->attemptId);
    const bool isMismatched = result.isMismatched;
    if (isMismatched)
        m_events.add("leaf_foreign_replies");
    complete(*call, std::move(result));
    co_return keep && !isMismatched && self->http.isOpen();
}

// Connects, or reconnects if the target has closed the connection.
asio::awaitable<bool> leaf_pool::ensureConnected(std::shared_ptr<pooled_connection> self,
                                                 leaf_call &call)
{
    if (self->http.isUsable())
        co_return true;
    self->http.close();
    const time_point limit = std::min(call.deadline, millis_clock::now() + max_connect_time);
    co_return co_await connect(self, *call.target, limit);
}

void leaf_pool::completeUnsent(leaf_call &call)
{
    leaf_call_result result;
    result.outcome = call.cancelled ? attempt_outcome::abandoned : attempt_outcome::unreachable;
    complete(call, std::move(result));
}

void leaf_pool::completeWithFailure(leaf_call &call, const http_failure &failure)
{
    leaf_call_result result;
    if (call.cancelled)
        result.outcome = attempt_outcome::abandoned;
    else if (failure.timedOut)
        result.outcome = attempt_outcome::timed_out;
    else if (failure.outcome == verdict::not_run)
        result.outcome = attempt_outcome::unreachable;
    complete(call, std::move(result));
}

asio::awaitable<bool> leaf_pool::connect(std::shared_ptr<pooled_connection> self,
                                         known_replica &target, time_point deadline)
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
    call.target->health.onEnded(call.ticket, result.outcome, result.load, millis_clock::now());
    m_events.add("leaf_calls_" + std::string(nameOf(result.outcome)));
    call.completionQueue->put(
        { call.shard, call.attempt, call.target->entry.id, std::move(result) });
}

} // namespace gooseberrymoor
