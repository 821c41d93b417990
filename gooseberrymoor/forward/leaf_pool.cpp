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

constexpr duration longest_connect { 400 };
constexpr duration longest_idle { 20'000 };
constexpr duration spare_idle { 1000 }; // of a connection to a target that is not held
constexpr int millis_per_second = 1000;
constexpr duration idle_margin { 600 }; // before the target closes an idle connection
constexpr duration own_ending_margin { 60 }; // for a target's own answer at its deadline

// How long an idle connection is kept after `reply`.
duration idleTimeOf(const http_reply &reply)
{
    if (reply.idleSeconds <= 0)
        return longest_idle;
    return std::min(longest_idle, duration(reply.idleSeconds * millis_per_second) - idle_margin);
}

} // namespace

struct leaf_pool::open_connection
{
    explicit open_connection(asio::any_io_executor executor)
        : http(executor), wake(std::move(executor))
    {
    }

    http_connection http;
    signal wake;
    std::shared_ptr<leaf_call> current;
    std::shared_ptr<leaf_call> next; // handed over while idle
    time_point closeAt {}; // while idle
    time_point idleSince {};
    bool closing = false;
    bool isConnected = false;
};

struct leaf_pool::target_connections
{
    std::shared_ptr<known_replica> target;
    std::set<std::shared_ptr<open_connection>> open;
    std::vector<std::shared_ptr<open_connection>> idle; // used last at the back
    std::deque<std::shared_ptr<leaf_call>> waiting;
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
    const shared_target connections = connectionsTo(call->target);
    if (!connections->idle.empty()) {
        const auto chosen = connections->idle.back();
        connections->idle.pop_back();
        chosen->next = std::move(call);
        chosen->wake.notify();
        return;
    }
    if (connections->open.size() < m_subset.connectionLimit(*call->target)) {
        startConnection(connections, std::move(call));
        return;
    }
    m_events.add("leaf_calls_queued");
    connections->waiting.push_back(std::move(call));
}

void leaf_pool::withdraw(const std::shared_ptr<leaf_call> &call)
{
    const auto found = m_targets.find(call->target.get());
    if (found == m_targets.end() || std::erase(found->second->waiting, call) == 0)
        return;
    leaf_call_result answer;
    answer.ending = attempt_outcome::abandoned;
    end(*call, std::move(answer));
}

// The most urgent of the waiting calls, and of those the one that came first; null if none waits.
std::shared_ptr<leaf_call> leaf_pool::takeWaiting(target_connections &target)
{
    if (target.waiting.empty())
        return nullptr;
    const auto chosen = std::min_element(
        target.waiting.begin(), target.waiting.end(),
        [](const auto &left, const auto &right) { return left->priority < right->priority; });
    auto call = std::move(*chosen);
    target.waiting.erase(chosen);
    return call;
}

void leaf_pool::abandon(const std::shared_ptr<leaf_call> &call)
{
    withdraw(call);
    call->abandoned = true;
    const auto found = m_targets.find(call->target.get());
    if (found == m_targets.end())
        return;
    for (const auto &each : found->second->open) {
        if (each->current == call)
            each->http.close();
    }
}

void leaf_pool::reconcile(const replica_set &replicas)
{
    const time_point now = millis_clock::now();
    for (auto &[key, connections] : m_targets) {
        if (!replicas.isEligible(*connections->target))
            endWaiting(*connections);
        if (!m_subset.holds(*connections->target))
            closeIdle(*connections, now - spare_idle);
    }
    forgetRemoved();
    for (const auto &[id, target] : replicas.all()) {
        if (!replicas.isEligible(*target) || !m_subset.holds(*target))
            continue;
        const shared_target connections = connectionsTo(target);
        if (connections->open.empty() && !target->health.isSuspect(now))
            startConnection(connections, nullptr);
    }
}

// Ends the calls that wait for a connection, as not run.
void leaf_pool::endWaiting(target_connections &target)
{
    const auto waiting = std::move(target.waiting);
    target.waiting.clear();
    for (const auto &each : waiting)
        endUnsent(*each);
}

void leaf_pool::closeIdle()
{
    for (auto &[key, connections] : m_targets)
        closeIdle(*connections, time_point::max());
}

// Closes what has been idle since `since` or before.
void leaf_pool::closeIdle(target_connections &target, time_point since)
{
    for (const auto &each : target.idle) {
        if (each->idleSince > since)
            continue;
        each->closing = true;
        each->wake.notify();
    }
    std::erase_if(target.idle, [](const auto &each) { return each->closing; });
}

// Targets that are gone keep a connection only while it carries a call.
void leaf_pool::forgetRemoved()
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

leaf_pool::shared_target leaf_pool::connectionsTo(const std::shared_ptr<known_replica> &target)
{
    shared_target &connections = m_targets[target.get()];
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

void leaf_pool::startConnection(const shared_target &target, std::shared_ptr<leaf_call> first)
{
    const auto connection = std::make_shared<open_connection>(m_executor);
    target->open.insert(connection); // counts from now on, not from when its task begins
    startTask(m_executor, m_events, "leaf_connection",
              runConnection(target, connection, std::move(first)));
}

asio::awaitable<void> leaf_pool::runConnection(shared_target target,
                                               std::shared_ptr<open_connection> self,
                                               std::shared_ptr<leaf_call> call)
{
    bool usable = true;
    if (!call)
        usable = co_await connect(self, *target->target, millis_clock::now() + longest_connect);
    while (usable) {
        if (!call)
            call = co_await nextCall(target, self);
        if (!call)
            break;
        usable = co_await serve(self, call);
        call.reset();
    }
    const bool wasConnected = self->isConnected;
    self->http.close();
    target->open.erase(self);
    std::erase(target->idle, self);
    // Where nothing answers, the others need not wait for their own try.
    if (!wasConnected && !isConnected(*target))
        endWaiting(*target);
    else if (auto waiting = takeWaiting(*target))
        startConnection(target, std::move(waiting));
}

// The next call for an open connection; null once it is to be closed.
asio::awaitable<std::shared_ptr<leaf_call>>
leaf_pool::nextCall(shared_target target, std::shared_ptr<open_connection> self)
{
    if (auto waiting = takeWaiting(*target))
        co_return waiting;
    self->idleSince = millis_clock::now();
    target->idle.push_back(self);
    while (!self->next && !self->closing && millis_clock::now() < self->closeAt)
        co_await self->wake.wait(self->closeAt);
    std::erase(target->idle, self);
    co_return std::move(self->next);
}

// Returns whether the connection can carry another call.
asio::awaitable<bool> leaf_pool::serve(std::shared_ptr<open_connection> self,
                                       std::shared_ptr<leaf_call> call)
{
    if (call->abandoned || millis_clock::now() >= call->deadline) {
        endUnsent(*call);
        co_return self->http.isOpen();
    }
    self->current = call;
    const bool connected = co_await makeUsable(self, *call);
    if (!connected || call->abandoned) {
        self->current.reset();
        endUnsent(*call);
        co_return false;
    }
    const duration left = call->deadline - millis_clock::now();
    http_request message = m_protocol.encode(*call->request, call->target->entry, left);
    const time_point limit = call->deadline + own_ending_margin;
    auto reply = co_await self->http.exchange(std::move(message), limit);
    self->current.reset();
    if (!reply) {
        endWithout(*call, reply.error());
        co_return false;
    }
    self->closeAt = millis_clock::now() + idleTimeOf(*reply);
    const bool keep = !reply->closeAfter && !reply->surplusBytes;
    leaf_call_result answer = m_protocol.decode(std::move(*reply), call->request->attemptId);
    const bool isMismatched = answer.isMismatched;
    if (isMismatched)
        m_events.add("leaf_foreign_replies");
    end(*call, std::move(answer));
    co_return keep && !isMismatched && self->http.isOpen();
}

// Opens the connection anew if the target has closed it meanwhile.
asio::awaitable<bool> leaf_pool::makeUsable(std::shared_ptr<open_connection> self, leaf_call &call)
{
    if (self->http.isUsable())
        co_return true;
    self->http.close();
    const time_point limit = std::min(call.deadline, millis_clock::now() + longest_connect);
    co_return co_await connect(self, *call.target, limit);
}

void leaf_pool::endUnsent(leaf_call &call)
{
    leaf_call_result answer;
    answer.ending = call.abandoned ? attempt_outcome::abandoned : attempt_outcome::unreachable;
    end(call, std::move(answer));
}

void leaf_pool::endWithout(leaf_call &call, const http_failure &failure)
{
    leaf_call_result answer;
    if (call.abandoned)
        answer.ending = attempt_outcome::abandoned;
    else if (failure.timedOut)
        answer.ending = attempt_outcome::timed_out;
    else if (failure.outcome == verdict::not_run)
        answer.ending = attempt_outcome::unreachable;
    end(call, std::move(answer));
}

asio::awaitable<bool> leaf_pool::connect(std::shared_ptr<open_connection> self,
                                         known_replica &target, time_point deadline)
{
    m_events.add("leaf_connections_opened");
    const auto connected = co_await self->http.connect(target.entry.address, deadline);
    self->closeAt = millis_clock::now() + longest_idle;
    self->isConnected = connected.has_value();
    if (!connected)
        m_events.add("leaf_connects_failed");
    co_return connected.has_value();
}

void leaf_pool::end(leaf_call &call, leaf_call_result answer)
{
    call.target->health.onEnded(call.ticket, answer.ending, answer.load, millis_clock::now());
    m_events.add("leaf_calls_" + std::string(nameOf(answer.ending)));
    call.inbox->put({ call.shard, call.attempt, call.target->entry.id, std::move(answer) });
}

} // namespace gooseberrymoor
