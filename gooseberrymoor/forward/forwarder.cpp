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

constexpr double usual_quantile = 0.95;
constexpr double enough_answers = 20; // until the quantile says something
constexpr std::size_t most_named = 4; // calls in a line of the log

std::string toText(duration value)
{
    return std::to_string(value.count());
}

} // namespace

struct forwarder::active_request
{
    active_request(std::shared_ptr<const caller_request> callerRequest, run_plan plan,
                   replica_selector &selector, repeat_budget &budget,
                   const asio::any_io_executor &executor)
        : request(std::move(callerRequest)), services(plan.services), deadline(plan.deadline),
          answers(plan.services.size()), run(std::move(plan), selector, budget),
          inbox(std::make_shared<leaf_completion_queue>(executor))
    {
    }

    std::shared_ptr<const caller_request> request;
    std::vector<std::string> services;
    time_point deadline;
    std::vector<std::optional<leaf_call_result>> answers; // of each shard, successes only
    std::optional<leaf_call_result> lastFailure; // of a target that answered with a failure
    request_run run;
    std::shared_ptr<leaf_completion_queue> inbox;
    std::map<std::uint64_t, std::shared_ptr<leaf_call>> calls; // under way, by attempt
    recent_latency *latency = nullptr;
    std::map<std::uint64_t, time_point> sentAt;
    duration targetLatency { 0 };
    int priority = 0;
    std::string slowestService; // of the answered shards
    std::string slowestTarget;
    duration slowestTime { 0 };

    // The first few calls that are still under way, as "service@target".
    std::string waitingFor() const
    {
        std::string text;
        std::size_t named = 0;
        for (const auto &[attempt, call] : calls) {
            if (answers[call->shard] || named == most_named)
                continue;
            ++named;
            text
                += (text.empty() ? "" : ",") + services[call->shard] + "@" + call->target->entry.id;
        }
        return text;
    }
};

forwarder::forwarder(asio::any_io_executor executor, forwarder_dependencies parts)
    : m_executor(std::move(executor)), m_parts(parts)
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
    active_request active(request, planFor(*request, *route), m_parts.selector, m_parts.budget,
                          m_executor);
    active.latency = &m_latencies[route->name];
    active.targetLatency = route->targetLatency;
    active.priority = route->priority;
    ++m_running;
    bool callerLeft = false;
    if (request->abandoned) {
        request->abandoned->setListener([&callerLeft, inbox = active.inbox] {
            callerLeft = true;
            inbox->wake.notify();
        });
        callerLeft = request->abandoned->isCancelled();
    }
    if (!callerLeft)
        sendAll(active, active.run.start(millis_clock::now()));
    while (!callerLeft && !active.run.isComplete(millis_clock::now())) {
        if (active.inbox->endings.empty())
            co_await active.inbox->wake.wait(active.run.nextWake(millis_clock::now()));
        takeEndings(active);
        if (!callerLeft && !active.run.isComplete(millis_clock::now()))
            sendAll(active, active.run.onTime(millis_clock::now()));
    }
    if (request->abandoned)
        request->abandoned->setListener({});
    --m_running;
    forward_result result;
    if (callerLeft) {
        for (auto &[attempt, call] : active.calls)
            m_parts.pool.abandon(call);
        result.status = forward_status::abandoned;
    } else {
        for (auto &[attempt, call] : active.calls)
            m_parts.pool.withdraw(call);
        result = resultOf(active, *route);
    }
    logOutcome(active, result);
    co_return result;
}

bool forwarder::isAdmitted(const caller_request &request, const route &route)
{
    const shedding_decision decision = m_parts.gate.decide(route, millis_clock::now());
    if (decision.admitted)
        return true;
    m_parts.events.add("forward_refused_in_overload");
    m_parts.log.write("request_refused",
                      { { "request", request.attemptId },
                        { "route", route.name },
                        { "wait_ms", std::to_string(std::lround(decision.waitMs)) },
                        { "allowed_ms", std::to_string(std::lround(decision.allowedMs)) } });
    return false;
}

run_plan forwarder::planFor(const caller_request &request, const route &route)
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
    const recent_latency &latency = m_latencies[route.name];
    const bool isKnown = latency.weight() >= enough_answers;
    plan.hedgeDelay = hedgeDelay(route, isKnown ? latency.quantile(usual_quantile) : duration(0));
    plan.answerBy = answerTime(route, request.arrived, request.firstOnConnection);
    plan.deadline = request.arrived + std::min(request.timeLeft, route.timeout);
    return plan;
}

void forwarder::sendAll(active_request &active, const std::vector<planned_attempt> &sends)
{
    for (const planned_attempt &each : sends) {
        auto call = std::make_shared<leaf_call>();
        call->request = active.request;
        call->target = each.target;
        call->inbox = active.inbox;
        call->shard = each.shard;
        call->attempt = each.attempt;
        call->deadline = active.deadline;
        call->priority = active.priority;
        active.calls[each.attempt] = call;
        active.sentAt[each.attempt] = millis_clock::now();
        if (each.reason != send_reason::first) {
            m_parts.events.add("forward_sends_" + std::string(nameOf(each.reason)));
            m_parts.log.write(nameOf(each.reason) == "hedge" ? "request_hedged" : "request_retried",
                              { { "request", active.request->attemptId },
                                { "service", active.services[each.shard] },
                                { "target", each.target->entry.id },
                                { "left_ms", toText(active.deadline - millis_clock::now()) } });
        }
        m_parts.pool.send(std::move(call));
    }
}

void forwarder::takeEndings(active_request &active)
{
    while (!active.inbox->endings.empty()) {
        leaf_completion ended = std::move(active.inbox->endings.front());
        active.inbox->endings.pop_front();
        active.calls.erase(ended.attempt);
        const time_point now = millis_clock::now();
        const attempt_outcome ending = ended.answer.ending;
        const std::size_t shard = ended.shard;
        const std::uint64_t attempt = ended.attempt;
        if (ending == attempt_outcome::answered) {
            const duration taken = now - active.sentAt[attempt];
            active.latency->record(taken);
            m_targetTimes.record(taken);
            takeAnswer(active, std::move(ended));
        } else {
            m_parts.log.write("attempt_failed",
                              { { "request", active.request->attemptId },
                                { "service", active.services[ended.shard] },
                                { "target", ended.target },
                                { "ending", std::string(nameOf(ending)) } });
            if (ending == attempt_outcome::failed)
                active.lastFailure = std::move(ended.answer);
        }
        sendAll(active, active.run.onEnding(shard, attempt, ending, now));
    }
}

void forwarder::takeAnswer(active_request &active, leaf_completion ended)
{
    auto &answer = active.answers[ended.shard];
    if (answer)
        return;
    answer = std::move(ended.answer);
    active.slowestTime = millis_clock::now() - active.request->arrived;
    active.slowestService = active.services[ended.shard];
    active.slowestTarget = std::move(ended.target);
}

forward_result forwarder::resultOf(active_request &active, const route &route)
{
    forward_result result;
    const bool isSharded = !route.shards.empty();
    if (isSharded && active.run.isSuccess()) {
        std::vector<std::string> parts;
        for (auto &answer : active.answers) {
            if (!answer) {
                ++result.missingParts;
                continue;
            }
            result.signatures.push_back(answer->signature);
            parts.push_back(std::move(answer->reply.body));
        }
        result.records = largestRecords(parts, route.maxRecords);
        result.status = forward_status::merged;
        return result;
    }
    if (!isSharded && active.answers.front()) {
        result.reply = std::move(active.answers.front()->reply);
        result.status = forward_status::passed_through;
        return result;
    }
    if (active.run.hasDefinitelyNotRun()) {
        result.retryAfter
            = retryAfter(active.deadline - millis_clock::now(), active.run.sent() > 0);
        result.status = forward_status::refused;
        return result;
    }
    if (!isSharded && active.lastFailure && !active.run.hasOutstanding()) {
        result.reply = std::move(active.lastFailure->reply);
        result.status = forward_status::passed_through;
        return result;
    }
    const bool isLate = millis_clock::now() >= active.deadline;
    result.status = isLate ? forward_status::timed_out : forward_status::failed;
    return result;
}

void forwarder::logOutcome(const active_request &active, const forward_result &result)
{
    m_parts.events.add("forward_" + std::string(nameOf(result.status)));
    const bool isWhole = result.status == forward_status::passed_through
        || (result.status == forward_status::merged && result.missingParts == 0);
    const duration taken = millis_clock::now() - active.request->arrived;
    m_requestTimes.record(taken);
    if (isWhole && taken <= active.targetLatency)
        return;
    m_parts.log.write("request_ended",
                      { { "request", active.request->attemptId },
                        { "outcome", std::string(nameOf(result.status)) },
                        { "missing_parts", std::to_string(result.missingParts) },
                        { "sent", std::to_string(active.run.sent()) },
                        { "taken_ms", toText(taken) },
                        { "target_latency_ms", toText(active.targetLatency) },
                        { "slowest", active.slowestService + "@" + active.slowestTarget },
                        { "slowest_ms", toText(active.slowestTime) },
                        { "waiting_for", active.waitingFor() } });
}

} // namespace gooseberrymoor
