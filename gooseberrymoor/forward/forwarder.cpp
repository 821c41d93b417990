#include "gooseberrymoor/forward/forwarder.h"

#include "gooseberrymoor/base/cancellation.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/forward/caller_request.h"
#include "gooseberrymoor/forward/forward_timing.h"
#include "gooseberrymoor/forward/leaf_completion_queue.h"
#include "gooseberrymoor/forward/leaf_pool.h"
#include "gooseberrymoor/forward/load_shedder.h"
#include "gooseberrymoor/forward/record_merge.h"
#include "gooseberrymoor/forward/request_run.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/routing/route.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace gooseberrymoor {

namespace {

constexpr double hedge_quantile = 0.95;
constexpr double completion_quantile = 0.99; // by which a response is expected to have come
constexpr double min_latency_samples = 20; // for a meaningful quantile
constexpr std::size_t max_logged_calls = 4; // per log line
constexpr std::size_t max_untrimmed_part_bytes = 4096; // a longer part is reduced on arrival

std::string millisText(duration value)
{
    return std::to_string(value.count());
}

// The status of the target's reply; empty if the attempt ended without a valid one.
std::string statusText(const leaf_call_result &result)
{
    const bool hasReply = result.outcome == attempt_outcome::failed
        || result.outcome == attempt_outcome::refused
        || result.outcome == attempt_outcome::misdirected;
    return hasReply ? std::to_string(result.reply.status) : std::string();
}

// The `quantile` of `latency`, or zero if there are too few samples.
duration typicalLatency(const recent_latency &latency, double quantile)
{
    return latency.weight() >= min_latency_samples ? latency.quantile(quantile) : duration(0);
}

// Reduces a part of a sharded response to the records that the response can include.
void trimPart(http_reply &part, std::size_t maxRecords)
{
    std::vector<std::string> bodies;
    bodies.push_back(std::move(part.body));
    part.body = largestRecords(bodies, maxRecords);
    part.reservation.reset();
}

} // namespace

struct forwarder::active_request
{
    active_request(std::shared_ptr<const caller_request> callerRequest, run_plan plan,
                   replica_selector &selector, repeat_budget &budget,
                   const asio::any_io_executor &executor)
        : request(std::move(callerRequest)), services(plan.services), deadline(plan.deadline),
          responses(plan.services.size()), run(std::move(plan), selector, budget),
          completionQueue(std::make_shared<leaf_completion_queue>(executor))
    {
    }

    std::shared_ptr<const caller_request> request;
    std::vector<std::string> services;
    time_point deadline;
    std::vector<std::optional<leaf_call_result>> responses; // by shard; successes only
    std::optional<leaf_call_result> lastFailure; // the last error response from a target
    request_run run;
    std::shared_ptr<leaf_completion_queue> completionQueue;
    std::map<std::uint64_t, std::shared_ptr<leaf_call>> calls; // in progress, by attempt
    recent_latency *latency = nullptr;
    std::map<std::uint64_t, time_point> sentAt;
    duration targetLatency { 0 };
    int priority = 0;
    time_point sendBefore = time_point::max(); // when the node stops; nothing is sent later
    std::size_t maxRecords = 0; // of a sharded response
    std::string slowestService; // of the shards that have responded
    std::string slowestTarget;
    duration slowestTime { 0 };

    // When to check what to send next.
    time_point nextWake(time_point now) const
    {
        const time_point next = run.nextWake(now);
        return run.isSendingStopped() ? next : std::min(next, sendBefore);
    }

    // The first few calls in progress, formatted as "service@target" and separated by commas.
    std::string pendingCallsText() const
    {
        std::string text;
        std::size_t logged = 0;
        for (const auto &[attempt, call] : calls) {
            if (responses[call->shard] || logged == max_logged_calls)
                continue;
            ++logged;
            text
                += (text.empty() ? "" : ",") + services[call->shard] + "@" + call->target->entry.id;
        }
        return text;
    }
};

forwarder::forwarder(asio::any_io_executor executor, forwarder_dependencies dependencies)
    : m_executor(std::move(executor)), m_dependencies(dependencies)
{
}

asio::awaitable<forward_result> forwarder::forward(std::shared_ptr<const caller_request> request,
                                                   std::shared_ptr<const route> route)
{
    if (!isAdmitted(*request, *route)) {
        forward_result refusal;
        refusal.retryAfter = retryAfter(request->timeLeft, true);
        refusal.status = forward_status::refused;
        co_return refusal;
    }
    active_request active(request, makePlan(*request, *route), m_dependencies.selector,
                          m_dependencies.budget, m_executor);
    active.latency = &m_latencies[route->name];
    active.targetLatency = route->targetLatency;
    active.priority = route->priority;
    active.maxRecords = route->maxRecords;
    m_active.insert(&active);
    updateSendBefore(active);
    bool callerDisconnected = false;
    if (request->abandoned) {
        request->abandoned->setListener(
            [&callerDisconnected, completionQueue = active.completionQueue] {
                callerDisconnected = true;
                completionQueue->wake.notify();
            });
        callerDisconnected = request->abandoned->isCancelled();
    }
    if (millis_clock::now() >= active.sendBefore)
        active.run.stopSending();
    else if (!callerDisconnected)
        sendAll(active, active.run.start(millis_clock::now()));
    while (!callerDisconnected && !active.run.isComplete(millis_clock::now())) {
        if (active.completionQueue->completions.empty())
            co_await active.completionQueue->wake.wait(active.nextWake(millis_clock::now()));
        processCompletions(active);
        if (millis_clock::now() >= active.sendBefore)
            withdrawUnsent(active);
        if (!callerDisconnected && !active.run.isComplete(millis_clock::now()))
            sendAll(active, active.run.onTime(millis_clock::now()));
    }
    if (request->abandoned)
        request->abandoned->setListener({});
    m_active.erase(&active);
    forward_result result;
    if (callerDisconnected) {
        for (auto &[attempt, call] : active.calls)
            m_dependencies.pool.cancel(call);
        result.status = forward_status::abandoned;
    } else {
        for (auto &[attempt, call] : active.calls)
            m_dependencies.pool.cancelQueued(call);
        result = buildResult(active, *route);
    }
    logOutcome(active, result);
    co_return result;
}

bool forwarder::isAdmitted(const caller_request &request, const route &route)
{
    const shedding_decision decision = m_dependencies.shedder.decide(route, millis_clock::now());
    if (decision.admitted)
        return true;
    m_dependencies.events.add("forward_refused_in_overload");
    m_dependencies.log.write("request_refused",
                             { { "request", request.attemptId },
                               { "route", route.name },
                               { "wait_ms", std::to_string(std::lround(decision.waitMs)) },
                               { "allowed_ms", std::to_string(std::lround(decision.allowedMs)) } });
    return false;
}

void forwarder::setEnd(time_point end)
{
    m_end = end;
    for (active_request *each : m_active) {
        updateSendBefore(*each);
        each->completionQueue->wake.notify();
    }
}

void forwarder::updateSendBefore(active_request &active)
{
    if (m_end == time_point::max())
        return;
    active.sendBefore
        = latestSendTime(active.targetLatency, typicalLatency(*active.latency, completion_quantile),
                         active.deadline - millis_clock::now(), m_end);
    for (auto &[attempt, call] : active.calls)
        call->sendBefore = active.sendBefore;
}

// Sends nothing more, and takes back what has not been sent.
void forwarder::withdrawUnsent(active_request &active)
{
    if (active.run.isSendingStopped())
        return;
    active.run.stopSending();
    for (const auto &[attempt, call] : active.calls)
        m_dependencies.pool.withdrawQueued(call);
    processCompletions(active);
}

run_plan forwarder::makePlan(const caller_request &request, const route &route)
{
    run_plan plan;
    plan.isSharded = !route.shards.empty();
    if (plan.isSharded)
        plan.services = route.shards;
    else
        plan.services.push_back(m_split.next(route));
    plan.kind = route.kind;
    plan.maxAttempts = std::max(1U, route.maxAttempts);
    plan.minSuccessShare = plan.isSharded ? route.minSuccessShare : 1;
    plan.hedgeDelay = hedgeDelay(route, typicalLatency(m_latencies[route.name], hedge_quantile));
    plan.softDeadline = softDeadlineFor(route, request.arrived, request.firstOnConnection);
    plan.deadline = request.arrived + std::min(request.timeLeft, route.timeout);
    return plan;
}

void forwarder::sendAll(active_request &active, const std::vector<planned_attempt> &attempts)
{
    for (const planned_attempt &each : attempts) {
        auto call = std::make_shared<leaf_call>();
        call->request = active.request;
        call->target = each.target;
        call->completionQueue = active.completionQueue;
        call->shard = each.shard;
        call->attempt = each.attempt;
        call->deadline = active.deadline;
        call->priority = active.priority;
        call->sendBefore = active.sendBefore;
        active.calls[each.attempt] = call;
        active.sentAt[each.attempt] = millis_clock::now();
        if (each.reason != send_reason::first) {
            m_dependencies.events.add("forward_sends_" + std::string(nameOf(each.reason)));
            m_dependencies.log.write(
                nameOf(each.reason) == "hedge" ? "request_hedged" : "request_retried",
                { { "request", active.request->attemptId },
                  { "service", active.services[each.shard] },
                  { "target", each.target->entry.id },
                  { "left_ms", millisText(active.deadline - millis_clock::now()) } });
        }
        m_dependencies.pool.send(std::move(call));
    }
}

void forwarder::processCompletions(active_request &active)
{
    while (!active.completionQueue->completions.empty()) {
        leaf_completion completion = std::move(active.completionQueue->completions.front());
        active.completionQueue->completions.pop_front();
        active.calls.erase(completion.attempt);
        const time_point now = millis_clock::now();
        const attempt_outcome outcome = completion.result.outcome;
        const std::size_t shard = completion.shard;
        const std::uint64_t attempt = completion.attempt;
        if (outcome == attempt_outcome::answered) {
            const duration taken = now - active.sentAt[attempt];
            active.latency->record(taken);
            m_targetTimes.record(taken);
            recordAnswer(active, std::move(completion));
        } else {
            m_dependencies.log.write("attempt_failed",
                                     { { "request", active.request->attemptId },
                                       { "service", active.services[completion.shard] },
                                       { "target", completion.target },
                                       { "ending", std::string(nameOf(outcome)) },
                                       { "status", statusText(completion.result) } });
            if (outcome == attempt_outcome::failed)
                active.lastFailure = std::move(completion.result);
        }
        sendAll(active, active.run.onAttemptEnded(shard, attempt, outcome, now));
    }
}

void forwarder::recordAnswer(active_request &active, leaf_completion completion)
{
    auto &response = active.responses[completion.shard];
    if (response)
        return;
    response = std::move(completion.result);
    const bool isSharded = active.responses.size() > 1;
    if (isSharded && response->reply.body.size() > max_untrimmed_part_bytes)
        trimPart(response->reply, active.maxRecords);
    active.slowestTime = millis_clock::now() - active.request->arrived;
    active.slowestService = active.services[completion.shard];
    active.slowestTarget = std::move(completion.target);
}

forward_result forwarder::buildResult(active_request &active, const route &route)
{
    forward_result result;
    const bool isSharded = !route.shards.empty();
    if (isSharded && active.run.isSuccess()) {
        std::vector<std::string> parts;
        for (auto &response : active.responses) {
            if (!response) {
                ++result.missingParts;
                continue;
            }
            result.signatures.push_back(response->signature);
            parts.push_back(std::move(response->reply.body));
        }
        result.records = largestRecords(parts, route.maxRecords);
        result.status = forward_status::merged;
        return result;
    }
    if (!isSharded && active.responses.front()) {
        result.reply = std::move(active.responses.front()->reply);
        result.status = forward_status::passed_through;
        return result;
    }
    if (active.run.hasDefinitelyNotRun()) {
        const time_point now = millis_clock::now();
        result.retryAfter = retryAfter(active.deadline - now, active.run.sent() > 0,
                                       active.run.enoughAvailableAt() - now);
        result.status = forward_status::refused;
        return result;
    }
    if (!isSharded && !active.run.hasOutstanding() && mayPassOnFailure(active, route)) {
        result.reply = std::move(active.lastFailure->reply);
        result.status = forward_status::passed_through;
        return result;
    }
    const bool isPastDeadline = millis_clock::now() >= active.deadline;
    result.status = isPastDeadline ? forward_status::timed_out : forward_status::failed;
    return result;
}

// Whether the caller may get the last failure of a target unchanged. If it promises that the
// request has not run, a caller would send a request again that must not run twice.
bool forwarder::mayPassOnFailure(const active_request &active, const route &route)
{
    if (!active.lastFailure)
        return false;
    if (route.kind == request_kind::idempotent || !active.lastFailure->promisesNotRun)
        return true;
    m_dependencies.events.add("forward_failures_withheld");
    m_dependencies.log.write("failure_withheld",
                             { { "request", active.request->attemptId },
                               { "service", active.services.front() },
                               { "status", std::to_string(active.lastFailure->reply.status) } });
    return false;
}

void forwarder::logOutcome(const active_request &active, const forward_result &result)
{
    m_dependencies.events.add("forward_" + std::string(nameOf(result.status)));
    const bool isFullResult = result.status == forward_status::passed_through
        || (result.status == forward_status::merged && result.missingParts == 0);
    const duration taken = millis_clock::now() - active.request->arrived;
    m_requestTimes.record(taken);
    if (isFullResult && taken <= active.targetLatency)
        return;
    m_dependencies.log.write("request_ended",
                             { { "request", active.request->attemptId },
                               { "outcome", std::string(nameOf(result.status)) },
                               { "missing_parts", std::to_string(result.missingParts) },
                               { "sent", std::to_string(active.run.sent()) },
                               { "taken_ms", millisText(taken) },
                               { "target_latency_ms", millisText(active.targetLatency) },
                               { "slowest", active.slowestService + "@" + active.slowestTarget },
                               { "slowest_ms", millisText(active.slowestTime) },
                               { "waiting_for", active.pendingCallsText() } });
}

} // namespace gooseberrymoor
