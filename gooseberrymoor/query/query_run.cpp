#include "gooseberrymoor/query/query_run.h"

#include "gooseberrymoor/query/hedge_policy.h"
#include "gooseberrymoor/query/leaf_selector.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

// Whether another target may answer where one gave `kind`.
bool isWorthAnotherTarget(error_kind kind)
{
    return kind != error_kind::bad_request && kind != error_kind::deadline_passed
        && kind != error_kind::cancelled;
}

} // namespace

query_run::query_run(query_request request, std::shared_ptr<const routing_table> routes,
                     leaf_selector &selector, hedge_policy &hedging)
    : m_request(std::move(request)), m_routes(std::move(routes)), m_selector(selector),
      m_hedging(hedging)
{
    const service_config *service = m_routes->findService(m_request.service);
    if (!service || service->snapshots.empty())
        return;
    const snapshot_config &snapshot = service->snapshots.back();
    m_snapshot = snapshot.id;
    for (const auto &[shard, group] : snapshot.groupOfShard) {
        const bool wanted = m_request.shards.empty()
            || std::ranges::find(m_request.shards, shard) != m_request.shards.end();
        if (wanted)
            m_shards[shard].candidates = &m_routes->candidates(m_request.service, group);
    }
    m_open = m_shards.size();
}

query_actions query_run::start(time_point now)
{
    query_actions actions;
    for (auto &[name, shard] : m_shards)
        ask(name, shard, false, now, actions);
    return actions;
}

query_actions query_run::onResponse(int attempt, leaf_response response, time_point now)
{
    query_actions actions;
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return actions;
    const attempt_state asked = found->second;
    endAttempt(attempt);
    shard_state &shard = m_shards.at(asked.shard);
    if (shard.done)
        return actions;
    const bool fromSnapshot = response.snapshot == m_snapshot;
    if (response.error == error_kind::none && fromSnapshot) {
        m_hedging.onAnswered(m_request.service, now - asked.sentAt);
        shard.covered = true;
        shard.body = std::move(response.body);
        shard.outcome = verdict::completed;
        settle(shard, actions);
        return actions;
    }
    if (response.error == error_kind::none)
        response.error = error_kind::snapshot_unavailable;
    fail(shard, response);
    if (!shard.outstanding.empty())
        return actions;
    const bool mayAskAgain = m_request.idempotent || response.outcome == verdict::not_run;
    if (mayAskAgain && isWorthAnotherTarget(response.error) && now < m_request.deadline
        && shard.asked.size() < shard.candidates->size() && m_hedging.takeExtra()) {
        ask(asked.shard, shard, true, now, actions);
        return actions;
    }
    settle(shard, actions);
    return actions;
}

query_actions query_run::onTime(time_point now)
{
    query_actions actions;
    for (auto &[name, shard] : m_shards) {
        if (shard.done)
            continue;
        if (now >= m_request.deadline) {
            shard.reason = error_kind::timed_out;
            shard.outcome = verdict::may_have_run;
            settle(shard, actions);
        } else if (now >= shard.hedgeAt) {
            shard.hedgeAt = time_point::max();
            if (shard.asked.size() < shard.candidates->size() && m_hedging.takeExtra())
                ask(name, shard, true, now, actions);
        }
    }
    return actions;
}

time_point query_run::nextWake() const
{
    time_point next = m_request.deadline;
    for (const auto &[name, shard] : m_shards) {
        if (!shard.done)
            next = std::min(next, shard.hedgeAt);
    }
    return next;
}

query_answer query_run::answer() const
{
    query_answer result;
    result.snapshot = m_snapshot;
    result.leafRequests = m_lastAttempt;
    result.extraRequests = m_extra;
    for (const auto &[name, shard] : m_shards) {
        if (shard.covered)
            result.results.push_back({ name, shard.body });
        else
            result.uncovered.push_back({ name, shard.reason, shard.outcome });
    }
    return result;
}

void query_run::ask(const std::string &name, shard_state &shard, bool extra, time_point now,
                    query_actions &actions)
{
    const auto chosen = m_selector.choose(m_request.service, *shard.candidates, shard.asked);
    if (!chosen) {
        shard.reason = error_kind::no_target;
        settle(shard, actions);
        return;
    }
    const leaf_candidate &candidate = (*shard.candidates)[*chosen];
    leaf_call call;
    call.attempt = ++m_lastAttempt;
    call.owner = candidate.owner;
    call.request.service = m_request.service;
    call.request.target = candidate.target;
    call.request.shard = name;
    call.request.snapshot = m_snapshot;
    call.request.idempotent = m_request.idempotent;
    call.request.timeout = m_request.deadline - now;
    call.request.body = m_request.body;
    m_attempts[call.attempt] = { name, candidate.target, now };
    shard.asked.insert(candidate.target);
    shard.outstanding.insert(call.attempt);
    m_selector.onSent(m_request.service + "/" + candidate.target);
    if (extra)
        ++m_extra;
    else
        m_hedging.onFirstSent();
    const auto delay = m_hedging.delay(m_request.service);
    if (m_request.idempotent && delay)
        shard.hedgeAt = now + *delay;
    actions.sends.push_back(std::move(call));
}

void query_run::settle(shard_state &shard, query_actions &actions)
{
    shard.done = true;
    --m_open;
    const std::set<int> unwanted = shard.outstanding;
    for (const int attempt : unwanted) {
        actions.cancels.push_back(attempt);
        endAttempt(attempt);
    }
}

void query_run::fail(shard_state &shard, const leaf_response &response)
{
    shard.reason = response.error;
    // Once one attempt may have run, the shard may have run.
    if (response.outcome != verdict::not_run || shard.outcome == verdict::not_run)
        shard.outcome = response.outcome;
}

void query_run::endAttempt(int attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    m_selector.onEnded(m_request.service + "/" + found->second.target);
    m_shards.at(found->second.shard).outstanding.erase(attempt);
    m_attempts.erase(found);
}

} // namespace gooseberrymoor
