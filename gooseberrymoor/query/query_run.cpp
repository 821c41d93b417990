#include "gooseberrymoor/query/query_run.h"

#include "gooseberrymoor/query/extra_request_budget.h"
#include "gooseberrymoor/query/hedge_policy.h"
#include "gooseberrymoor/query/leaf_outcome.h"
#include "gooseberrymoor/query/leaf_selector.h"
#include "gooseberrymoor/query/snapshot_selector.h"
#include "gooseberrymoor/query/version_choice.h"
#include "gooseberrymoor/rollout/leaf_observation.h"
#include "gooseberrymoor/rollout/leaf_observer.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration min_hedge_recheck { 2 }; // shortest interval, while the budget allows no hedge
constexpr duration second_round_delay { 20 }; // mean
constexpr duration max_deadline_margin { 5 };
constexpr int deadline_margin_divisor = 20; // the margin is at most 1/20 of the time left
constexpr std::size_t missing_shard_divisor = 20; // restart if 1/20 of the shards lack the snapshot

// Returns whether another target may succeed after one failed with `kind`.
bool isRetryable(error_kind kind)
{
    return kind != error_kind::bad_request && kind != error_kind::deadline_passed
        && kind != error_kind::cancelled;
}

// Returns whether the response proves that no owner dispatched the request to a target, so that
// resending it to another target adds no load.
bool isRedirectable(const leaf_response &response)
{
    const bool notDispatched = response.error == error_kind::not_owner
        || response.error == error_kind::no_owner || response.error == error_kind::draining
        || response.error == error_kind::link_lost;
    return notDispatched && response.outcome == verdict::not_run;
}

// Returns the timeout of a leaf request when the query has `remaining` time left. The leaf request
// expires before the query does, so that an owner that still had it queued can report in time that
// it has not run.
duration leafTimeout(duration remaining)
{
    return remaining - std::min(remaining / deadline_margin_divisor, max_deadline_margin);
}

} // namespace

query_run::query_run(query_request request, std::shared_ptr<const leaf_candidate_table> routes,
                     query_policies policies)
    : m_request(std::move(request)), m_routes(std::move(routes)), m_policies(policies),
      m_nextWake(m_request.deadline)
{
}

query_actions query_run::start(time_point now)
{
    query_actions actions;
    m_startedAt = now;
    const service_config *service = m_routes->findService(m_request.service);
    const snapshot_config *snapshot
        = service ? m_policies.snapshots.choose(*service, m_request.shards, now) : nullptr;
    if (!snapshot)
        return actions;
    startSnapshot(*snapshot);
    if (now >= m_request.deadline) {
        failOpenShards(error_kind::deadline_passed, now, actions);
        return actions;
    }
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        if (m_shards[i].done)
            continue;
        if (trySend(i, send_reason::first, now, actions))
            m_policies.budget.onFirstRequestSent();
        else
            closeShard(m_shards[i], error_kind::cancelled, now, actions);
    }
    return actions;
}

query_actions query_run::onResponse(int attempt, leaf_response response, time_point now)
{
    query_actions actions;
    const auto position = static_cast<std::size_t>(attempt) - 1;
    if (position >= m_attempts.size() || !m_attempts[position].open)
        return actions;
    if (response.error == error_kind::none && response.snapshot != m_snapshot)
        response.error = error_kind::snapshot_unavailable;
    const std::size_t index = m_attempts[position].shard;
    endAttempt(attempt, response.error, response.queued, now);
    shard_progress &shard = m_shards[index];
    if (response.error == error_kind::none) {
        completeShard(shard, std::move(response.body), now, actions);
        return actions;
    }
    recordFailure(shard, response);
    if (shard.outstanding.empty() || isRedirectable(response))
        handleFailure(index, response, now, actions);
    return actions;
}

query_actions query_run::onTime(time_point now)
{
    query_actions actions;
    if (now < m_nextWake || isFinished())
        return actions;
    if (now >= m_request.deadline) {
        failOpenShards(error_kind::timed_out, now, actions);
        return actions;
    }
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        shard_progress &shard = m_shards[i];
        if (shard.done)
            continue;
        if (now >= shard.secondRoundAt) {
            shard.secondRoundAt = time_point::max();
            if (!trySend(i, send_reason::extra, now, actions))
                closeShard(shard, error_kind::cancelled, now, actions);
        } else if (now >= shard.hedgeAt) {
            tryHedge(i, now, actions);
        }
    }
    recomputeNextWake();
    return actions;
}

query_actions query_run::abandon(time_point now)
{
    query_actions actions;
    failOpenShards(error_kind::cancelled, now, actions);
    return actions;
}

void query_run::setRoutes(std::shared_ptr<const leaf_candidate_table> routes)
{
    if (routes == m_routes || !routes)
        return;
    const service_config *service = routes->findService(m_request.service);
    const snapshot_config *snapshot = service ? service->findSnapshot(m_snapshot) : nullptr;
    if (!snapshot)
        return;
    for (const shard_progress &shard : m_shards) {
        const auto found = snapshot->groupOfShard.find(shard.name);
        const std::string group = found == snapshot->groupOfShard.end() ? "" : found->second;
        if (group != shard.group)
            return;
    }
    for (shard_progress &shard : m_shards)
        shard.candidates = &routes->candidates(m_request.service, shard.group);
    m_routes = std::move(routes);
}

query_answer query_run::answer() const
{
    query_answer result;
    result.snapshot = m_snapshot;
    result.leafRequests = static_cast<int>(m_attempts.size());
    result.extraRequests = m_extraRequests;
    result.usedFallbackSnapshot = m_usedFallbackSnapshot;
    for (const shard_progress &shard : m_shards) {
        if (shard.covered)
            result.results.push_back({ shard.name, shard.body });
        else
            result.uncovered.push_back({ shard.name, shard.reason, shard.outcome });
    }
    return result;
}

void query_run::startSnapshot(const snapshot_config &snapshot)
{
    m_snapshot = snapshot.id;
    m_shards.clear();
    m_openShards = 0;
    m_shardsWithoutSnapshot = 0;
    for (const std::string &name : requestedShards(snapshot)) {
        shard_progress shard;
        shard.name = name;
        const auto previous = m_previousOutcomes.find(name);
        if (previous != m_previousOutcomes.end())
            shard.outcome = previous->second;
        const auto group = snapshot.groupOfShard.find(name);
        if (group == snapshot.groupOfShard.end()) {
            shard.done = true;
            shard.reason = error_kind::unknown_shard;
        } else {
            shard.group = group->second;
            shard.candidates = &m_routes->candidates(m_request.service, shard.group);
            ++m_openShards;
        }
        m_shards.push_back(std::move(shard));
    }
}

std::vector<std::string> query_run::requestedShards(const snapshot_config &snapshot) const
{
    std::vector<std::string> requested = m_request.shards;
    if (requested.empty()) {
        for (const auto &[name, group] : snapshot.groupOfShard)
            requested.push_back(name);
        return requested;
    }
    std::ranges::sort(requested);
    requested.erase(std::unique(requested.begin(), requested.end()), requested.end());
    return requested;
}

// Sends the shard's request to a target that was not tried yet; returns false if there is none.
bool query_run::trySend(std::size_t index, send_reason reason, time_point now,
                        query_actions &actions)
{
    shard_progress &shard = m_shards[index];
    const std::vector<std::size_t> eligible
        = chooseVersion(*shard.candidates, shard.triedTargets, m_policies.random);
    if (eligible.empty()) {
        if (shard.reason == error_kind::none)
            shard.reason = error_kind::no_target;
        return false;
    }
    const leaf_candidate &target
        = (*shard.candidates)[m_policies.selector.choose(*shard.candidates, eligible, now)];
    outgoing_leaf_request outgoing = makeLeafRequest(shard, target, now);
    m_attempts.push_back({ index, target.key, target.target, target.version, now, true });
    shard.triedTargets.push_back(target.target);
    shard.outstanding.push_back(outgoing.attempt);
    m_policies.selector.onSent(target.key);
    if (reason == send_reason::extra)
        ++m_extraRequests;
    const auto delay = m_policies.hedging.delay(m_request.service);
    if (m_request.idempotent && delay) {
        shard.hedgeAt = now + *delay;
        scheduleWake(shard.hedgeAt);
    }
    actions.sends.push_back(std::move(outgoing));
    return true;
}

outgoing_leaf_request query_run::makeLeafRequest(const shard_progress &shard,
                                                 const leaf_candidate &target, time_point now)
{
    outgoing_leaf_request outgoing;
    outgoing.attempt = static_cast<int>(m_attempts.size()) + 1;
    outgoing.owner = target.owner;
    outgoing.request.service = m_request.service;
    outgoing.request.target = target.target;
    outgoing.request.shard = shard.name;
    outgoing.request.snapshot = m_snapshot;
    outgoing.request.idempotent = m_request.idempotent;
    outgoing.request.timeout = leafTimeout(m_request.deadline - now);
    outgoing.request.body = m_request.body;
    outgoing.request.route = m_request.route;
    return outgoing;
}

void query_run::completeShard(shard_progress &shard, std::string body, time_point now,
                              query_actions &actions)
{
    shard.covered = true;
    shard.body = std::move(body);
    shard.outcome = verdict::completed;
    closeShard(shard, error_kind::cancelled, now, actions);
}

void query_run::recordFailure(shard_progress &shard, const leaf_response &response)
{
    shard.reason = response.error;
    shard.outcome = std::max(shard.outcome, response.outcome);
}

void query_run::handleFailure(std::size_t index, const leaf_response &response, time_point now,
                              query_actions &actions)
{
    shard_progress &shard = m_shards[index];
    const bool definitelyNotRun = shard.outcome == verdict::not_run;
    const bool mayResend = (m_request.idempotent || definitelyNotRun) && isRetryable(response.error)
        && now < m_request.deadline;
    if (mayResend) {
        bool hasUntriedTarget = shard.triedTargets.size() < shard.candidates->size();
        const bool redirect = isRedirectable(response);
        if (hasUntriedTarget && (redirect || m_policies.budget.tryTakeRetry())) {
            const send_reason reason = redirect ? send_reason::redirect : send_reason::extra;
            if (trySend(index, reason, now, actions))
                return;
            hasUntriedTarget = false;
        }
        if (!hasUntriedTarget && definitelyNotRun && shard.outstanding.empty()
            && scheduleSecondRound(shard, now))
            return;
    }
    if (!shard.outstanding.empty())
        return;
    closeShard(shard, error_kind::cancelled, now, actions);
    if (shard.reason != error_kind::snapshot_unavailable)
        return;
    ++m_shardsWithoutSnapshot;
    if (isSnapshotUnavailable())
        restartOnFallback(now, actions);
}

// Schedules a second round of attempts, after a jittered delay, once all targets of the shard have
// refused. Returns false if there was a second round already, the targets lack the snapshot, or
// time or budget do not allow it.
bool query_run::scheduleSecondRound(shard_progress &shard, time_point now)
{
    const bool lacksSnapshot = shard.reason == error_kind::snapshot_unavailable;
    const auto jitterRange = static_cast<std::uint64_t>(second_round_delay.count());
    const duration delay = second_round_delay / 2 + duration(m_policies.random() % jitterRange);
    if (lacksSnapshot || shard.hadSecondRound || now + delay >= m_request.deadline
        || !m_policies.budget.tryTakeRetry())
        return false;
    shard.hadSecondRound = true;
    shard.triedTargets.clear();
    shard.hedgeAt = time_point::max();
    shard.secondRoundAt = now + delay;
    scheduleWake(shard.secondRoundAt);
    return true;
}

void query_run::tryHedge(std::size_t index, time_point now, query_actions &actions)
{
    shard_progress &shard = m_shards[index];
    shard.hedgeAt = time_point::max();
    if (shard.triedTargets.size() >= shard.candidates->size())
        return;
    if (m_policies.budget.tryTakeHedge(static_cast<int>(m_openShards))) {
        trySend(index, send_reason::extra, now, actions);
        return;
    }
    // The budget does not allow a hedge now; check again after a quarter of the hedge delay.
    const auto delay = m_policies.hedging.delay(m_request.service);
    if (delay)
        shard.hedgeAt = now + std::max(*delay / 4, min_hedge_recheck);
}

void query_run::closeShard(shard_progress &shard, error_kind cancelReason, time_point now,
                           query_actions &actions)
{
    shard.done = true;
    --m_openShards;
    cancelOutstanding(shard, cancelReason, now, actions);
}

bool query_run::isSnapshotUnavailable() const
{
    return m_shardsWithoutSnapshot * missing_shard_divisor >= m_shards.size()
        && m_shardsWithoutSnapshot > 0;
}

bool query_run::canRestart(time_point now) const
{
    const duration elapsed = now - m_startedAt;
    if (m_usedFallbackSnapshot || m_request.deadline - now <= elapsed)
        return false;
    return m_request.idempotent || std::ranges::all_of(m_shards, [](const shard_progress &shard) {
               return shard.outcome == verdict::not_run && shard.outstanding.empty();
           });
}

void query_run::restartOnFallback(time_point now, query_actions &actions)
{
    m_policies.snapshots.markUnavailable(m_request.service, m_snapshot, now);
    if (!canRestart(now))
        return;
    const service_config *service = m_routes->findService(m_request.service);
    const snapshot_config *fallback
        = m_policies.snapshots.chooseFallback(*service, m_request.shards, m_snapshot, now);
    const auto discardedRequests = std::ranges::count_if(m_shards, [](const shard_progress &shard) {
        return !shard.outstanding.empty() || shard.outcome != verdict::not_run;
    });
    if (!fallback || !m_policies.budget.tryBorrow(static_cast<int>(discardedRequests)))
        return;
    m_usedFallbackSnapshot = true;
    for (shard_progress &shard : m_shards) {
        if (!shard.outstanding.empty())
            shard.outcome = std::max(shard.outcome, verdict::may_have_run);
        cancelOutstanding(shard, error_kind::cancelled, now, actions);
        m_previousOutcomes[shard.name] = shard.outcome;
    }
    startSnapshot(*fallback);
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        if (!m_shards[i].done && !trySend(i, send_reason::extra, now, actions))
            closeShard(m_shards[i], error_kind::cancelled, now, actions);
    }
}

void query_run::cancelOutstanding(shard_progress &shard, error_kind cancelReason, time_point now,
                                  query_actions &actions)
{
    const std::vector<int> attempts = shard.outstanding;
    for (const int attempt : attempts) {
        actions.cancels.push_back(attempt);
        endAttempt(attempt, cancelReason, 0, now);
    }
}

void query_run::failOpenShards(error_kind reason, time_point now, query_actions &actions)
{
    for (shard_progress &shard : m_shards) {
        if (shard.done)
            continue;
        if (!shard.outstanding.empty()) {
            shard.reason = reason;
            shard.outcome = std::max(shard.outcome, verdict::may_have_run);
        }
        if (shard.reason == error_kind::none)
            shard.reason = reason;
        closeShard(shard, reason, now, actions);
    }
}

void query_run::endAttempt(int attempt, error_kind error, int queued, time_point now)
{
    attempt_state &ended = m_attempts[static_cast<std::size_t>(attempt) - 1];
    ended.open = false;
    shard_progress &shard = m_shards[ended.shard];
    std::erase(shard.outstanding, attempt);
    const duration latency = now - ended.sentAt;
    m_policies.selector.onEnded(ended.key, { error, latency, queued }, now);
    // The latency of a cancelled attempt is only a lower bound. It is recorded because hedges that
    // win would otherwise hide slow targets and shorten the hedge delay.
    const bool isLatencySample = error == error_kind::none || error == error_kind::timed_out
        || (error == error_kind::cancelled && shard.covered);
    if (isLatencySample)
        m_policies.hedging.onEnded(m_request.service, latency);
    if (m_policies.observer) {
        m_policies.observer->onLeafEnded(
            { m_request.service, ended.version, m_request.route, error, latency, ended.target });
    }
}

void query_run::scheduleWake(time_point when)
{
    m_nextWake = std::min(m_nextWake, when);
}

void query_run::recomputeNextWake()
{
    m_nextWake = m_request.deadline;
    for (const shard_progress &shard : m_shards) {
        if (!shard.done)
            scheduleWake(std::min(shard.hedgeAt, shard.secondRoundAt));
    }
}

} // namespace gooseberrymoor
