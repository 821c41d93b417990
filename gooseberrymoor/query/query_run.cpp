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

constexpr duration shortest_recheck { 2 }; // of a hedge that the budget did not allow
constexpr duration retry_pause { 20 }; // after all targets of a group have refused
constexpr duration longest_margin { 5 }; // for an owner's word that a request has not run
constexpr int margin_divisor = 20; // the margin is at most this part of the time left
constexpr std::size_t missing_divisor = 20; // one shard in so many may lack the snapshot

// Whether another target may answer where one gave `kind`.
bool isWorthAnotherTarget(error_kind kind)
{
    return kind != error_kind::bad_request && kind != error_kind::deadline_passed
        && kind != error_kind::cancelled;
}

// Whether the request surely reached no owner that could have passed it on, so that sending it
// elsewhere adds nothing to the load of targets.
bool isRedirect(const leaf_response &response)
{
    const bool elsewhere = response.error == error_kind::not_owner
        || response.error == error_kind::no_owner || response.error == error_kind::draining
        || response.error == error_kind::link_lost;
    return elsewhere && response.outcome == verdict::not_run;
}

// The time that a leaf request may take when `left` is left. It ends before the query does, so that
// an owner in whose queue it waited can still say that it has not run.
duration leafTimeout(duration left)
{
    return left - std::min(left / margin_divisor, longest_margin);
}

} // namespace

query_run::query_run(query_request request, std::shared_ptr<const routing_table> routes,
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
    begin(*snapshot);
    if (now >= m_request.deadline) {
        giveUp(error_kind::deadline_passed, now, actions);
        return actions;
    }
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        if (m_shards[i].done)
            continue;
        if (ask(i, send_reason::first, now, actions))
            m_policies.budget.onFirstRequestSent();
        else
            settle(m_shards[i], error_kind::cancelled, now, actions);
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
        cover(shard, std::move(response.body), now, actions);
        return actions;
    }
    fail(shard, response);
    if (shard.outstanding.empty() || isRedirect(response))
        askElsewhere(index, response, now, actions);
    return actions;
}

query_actions query_run::onTime(time_point now)
{
    query_actions actions;
    if (now < m_nextWake || isFinished())
        return actions;
    if (now >= m_request.deadline) {
        giveUp(error_kind::timed_out, now, actions);
        return actions;
    }
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        shard_progress &shard = m_shards[i];
        if (shard.done)
            continue;
        if (now >= shard.retryAt) {
            shard.retryAt = time_point::max();
            if (!ask(i, send_reason::extra, now, actions))
                settle(shard, error_kind::cancelled, now, actions);
        } else if (now >= shard.hedgeAt) {
            hedge(i, now, actions);
        }
    }
    updateWake();
    return actions;
}

query_actions query_run::abandon(time_point now)
{
    query_actions actions;
    giveUp(error_kind::cancelled, now, actions);
    return actions;
}

void query_run::setRoutes(std::shared_ptr<const routing_table> routes)
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
    result.extraRequests = m_extra;
    result.usedFallbackSnapshot = m_askedAgain;
    for (const shard_progress &shard : m_shards) {
        if (shard.covered)
            result.results.push_back({ shard.name, shard.body });
        else
            result.uncovered.push_back({ shard.name, shard.reason, shard.outcome });
    }
    return result;
}

void query_run::begin(const snapshot_config &snapshot)
{
    m_snapshot = snapshot.id;
    m_shards.clear();
    m_open = 0;
    m_missing = 0;
    for (const std::string &name : wantedShards(snapshot)) {
        shard_progress shard;
        shard.name = name;
        const auto earlier = m_earlierOutcomes.find(name);
        if (earlier != m_earlierOutcomes.end())
            shard.outcome = earlier->second;
        const auto group = snapshot.groupOfShard.find(name);
        if (group == snapshot.groupOfShard.end()) {
            shard.done = true;
            shard.reason = error_kind::unknown_shard;
        } else {
            shard.group = group->second;
            shard.candidates = &m_routes->candidates(m_request.service, shard.group);
            ++m_open;
        }
        m_shards.push_back(std::move(shard));
    }
}

std::vector<std::string> query_run::wantedShards(const snapshot_config &snapshot) const
{
    std::vector<std::string> wanted = m_request.shards;
    if (wanted.empty()) {
        for (const auto &[name, group] : snapshot.groupOfShard)
            wanted.push_back(name);
        return wanted;
    }
    std::ranges::sort(wanted);
    wanted.erase(std::unique(wanted.begin(), wanted.end()), wanted.end());
    return wanted;
}

// False if there is no target to ask.
bool query_run::ask(std::size_t index, send_reason why, time_point now, query_actions &actions)
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
    outgoing_leaf_request outgoing = makeCall(shard, target, now);
    m_attempts.push_back({ index, target.key, target.target, target.version, now, true });
    shard.triedTargets.push_back(target.target);
    shard.outstanding.push_back(outgoing.attempt);
    m_policies.selector.onSent(target.key);
    if (why == send_reason::extra)
        ++m_extra;
    const auto delay = m_policies.hedging.delay(m_request.service);
    if (m_request.idempotent && delay) {
        shard.hedgeAt = now + *delay;
        wakeBy(shard.hedgeAt);
    }
    actions.sends.push_back(std::move(outgoing));
    return true;
}

outgoing_leaf_request query_run::makeCall(const shard_progress &shard, const leaf_candidate &target,
                                          time_point now)
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

void query_run::cover(shard_progress &shard, std::string body, time_point now,
                      query_actions &actions)
{
    shard.covered = true;
    shard.body = std::move(body);
    shard.outcome = verdict::completed;
    settle(shard, error_kind::cancelled, now, actions);
}

void query_run::fail(shard_progress &shard, const leaf_response &response)
{
    shard.reason = response.error;
    shard.outcome = std::max(shard.outcome, response.outcome);
}

void query_run::askElsewhere(std::size_t index, const leaf_response &response, time_point now,
                             query_actions &actions)
{
    shard_progress &shard = m_shards[index];
    const bool surelyNotRun = shard.outcome == verdict::not_run;
    const bool mayAskAgain = (m_request.idempotent || surelyNotRun)
        && isWorthAnotherTarget(response.error) && now < m_request.deadline;
    if (mayAskAgain) {
        bool othersLeft = shard.triedTargets.size() < shard.candidates->size();
        const bool redirect = isRedirect(response);
        if (othersLeft && (redirect || m_policies.budget.tryTakeRetry())) {
            const send_reason why = redirect ? send_reason::redirect : send_reason::extra;
            if (ask(index, why, now, actions))
                return;
            othersLeft = false;
        }
        if (!othersLeft && surelyNotRun && shard.outstanding.empty() && scheduleRetry(shard, now))
            return;
    }
    if (!shard.outstanding.empty())
        return;
    settle(shard, error_kind::cancelled, now, actions);
    if (shard.reason != error_kind::snapshot_unavailable)
        return;
    ++m_missing;
    if (isTooMuchMissing())
        askOtherSnapshot(now, actions);
}

// All targets have refused: once, after a pause, one of them is asked again.
bool query_run::scheduleRetry(shard_progress &shard, time_point now)
{
    const bool isMissing = shard.reason == error_kind::snapshot_unavailable;
    const auto spread = static_cast<std::uint64_t>(retry_pause.count());
    const duration pause = retry_pause / 2 + duration(m_policies.random() % spread);
    if (isMissing || shard.wasRetried || now + pause >= m_request.deadline
        || !m_policies.budget.tryTakeRetry())
        return false;
    shard.wasRetried = true;
    shard.triedTargets.clear();
    shard.hedgeAt = time_point::max();
    shard.retryAt = now + pause;
    wakeBy(shard.retryAt);
    return true;
}

void query_run::hedge(std::size_t index, time_point now, query_actions &actions)
{
    shard_progress &shard = m_shards[index];
    shard.hedgeAt = time_point::max();
    if (shard.triedTargets.size() >= shard.candidates->size())
        return;
    if (m_policies.budget.tryTakeHedge(static_cast<int>(m_open))) {
        ask(index, send_reason::extra, now, actions);
        return;
    }
    const auto delay = m_policies.hedging.delay(m_request.service);
    if (delay)
        shard.hedgeAt = now + std::max(*delay / 4, shortest_recheck);
}

void query_run::settle(shard_progress &shard, error_kind unwantedAs, time_point now,
                       query_actions &actions)
{
    shard.done = true;
    --m_open;
    cancelOutstanding(shard, unwantedAs, now, actions);
}

bool query_run::isTooMuchMissing() const
{
    return m_missing * missing_divisor >= m_shards.size() && m_missing > 0;
}

bool query_run::mayAskOtherSnapshot(time_point now) const
{
    const duration elapsed = now - m_startedAt;
    if (m_askedAgain || m_request.deadline - now <= elapsed)
        return false;
    return m_request.idempotent || std::ranges::all_of(m_shards, [](const shard_progress &shard) {
               return shard.outcome == verdict::not_run && shard.outstanding.empty();
           });
}

void query_run::askOtherSnapshot(time_point now, query_actions &actions)
{
    m_policies.snapshots.markUnavailable(m_request.service, m_snapshot, now);
    if (!mayAskOtherSnapshot(now))
        return;
    const service_config *service = m_routes->findService(m_request.service);
    const snapshot_config *other
        = m_policies.snapshots.chooseFallback(*service, m_request.shards, m_snapshot, now);
    const auto mayHaveRun = std::ranges::count_if(m_shards, [](const shard_progress &shard) {
        return !shard.outstanding.empty() || shard.outcome != verdict::not_run;
    });
    if (!other || !m_policies.budget.tryBorrow(static_cast<int>(mayHaveRun)))
        return;
    m_askedAgain = true;
    for (shard_progress &shard : m_shards) {
        if (!shard.outstanding.empty())
            shard.outcome = std::max(shard.outcome, verdict::may_have_run);
        cancelOutstanding(shard, error_kind::cancelled, now, actions);
        m_earlierOutcomes[shard.name] = shard.outcome;
    }
    begin(*other);
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        if (!m_shards[i].done && !ask(i, send_reason::extra, now, actions))
            settle(m_shards[i], error_kind::cancelled, now, actions);
    }
}

void query_run::cancelOutstanding(shard_progress &shard, error_kind as, time_point now,
                                  query_actions &actions)
{
    const std::vector<int> unwanted = shard.outstanding;
    for (const int attempt : unwanted) {
        actions.cancels.push_back(attempt);
        endAttempt(attempt, as, 0, now);
    }
}

void query_run::giveUp(error_kind reason, time_point now, query_actions &actions)
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
        settle(shard, reason, now, actions);
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
    // What was given up took at least so long: without it slow targets would be left out.
    const bool measures = error == error_kind::none || error == error_kind::timed_out
        || (error == error_kind::cancelled && shard.covered);
    if (measures)
        m_policies.hedging.onEnded(m_request.service, latency);
    if (m_policies.observer) {
        m_policies.observer->onLeafEnded(
            { m_request.service, ended.version, m_request.route, error, latency, ended.target });
    }
}

void query_run::wakeBy(time_point when)
{
    m_nextWake = std::min(m_nextWake, when);
}

void query_run::updateWake()
{
    m_nextWake = m_request.deadline;
    for (const shard_progress &shard : m_shards) {
        if (!shard.done)
            wakeBy(std::min(shard.hedgeAt, shard.retryAt));
    }
}

} // namespace gooseberrymoor
