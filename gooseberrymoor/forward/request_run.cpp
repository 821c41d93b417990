#include "gooseberrymoor/forward/request_run.h"

#include "gooseberrymoor/forward/repeat_budget.h"
#include "gooseberrymoor/replica/replica_selector.h"
#include "gooseberrymoor/replica/replica_set.h"

#include <algorithm>
#include <cmath>

namespace gooseberrymoor {

namespace {

constexpr unsigned max_refusals = 4; // per shard
constexpr duration retry_delay { 15 }; // if no target is left or the budget is exhausted
constexpr double max_hedged_fraction = 0.5; // of the shards of a request
constexpr double rounding_tolerance = 1e-9;

} // namespace

request_run::request_run(run_plan plan, replica_selector &selector, repeat_budget &budget)
    : m_plan(std::move(plan)), m_selector(selector), m_budget(budget),
      m_shards(m_plan.services.size())
{
}

std::vector<planned_attempt> request_run::start(time_point now)
{
    std::vector<planned_attempt> attempts;
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        m_budget.onRequest(m_plan.services[shard], now);
        planAttempt(attempts, shard, send_reason::first, now);
    }
    if (attempts.size() >= requiredShards())
        return attempts;
    // Too few shards have a target for a success, so nothing is sent.
    for (shard_state &state : m_shards) {
        shard_state unsent;
        unsent.availableAt = state.availableAt;
        unsent.isUnavailable = state.isUnavailable;
        state = unsent;
    }
    return {};
}

std::vector<planned_attempt> request_run::onAttemptEnded(std::size_t shard, std::uint64_t attempt,
                                                         attempt_outcome outcome, time_point now)
{
    shard_state &state = m_shards[shard];
    if (state.outstanding.erase(attempt) == 0)
        return {};
    if (outcome == attempt_outcome::answered) {
        if (!state.answered)
            ++m_answered;
        state.answered = true;
        return {};
    }
    if (hasNotRun(outcome)) {
        --state.possibleRuns;
        ++state.refusals;
    } else {
        state.mayHaveRun = true;
    }
    state.mayHaveReachedTarget
        = state.mayHaveReachedTarget || outcome != attempt_outcome::unreachable;
    std::vector<planned_attempt> attempts;
    if (!state.answered && state.outstanding.empty() && mayRetry(state) && now < m_plan.deadline)
        planAttempt(attempts, shard, send_reason::retry, now);
    return attempts;
}

std::vector<planned_attempt> request_run::onTime(time_point now)
{
    std::vector<planned_attempt> attempts;
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        shard_state &state = m_shards[shard];
        if (state.answered)
            continue;
        if (state.outstanding.empty() && mayRetry(state) && now >= state.retryAt)
            planAttempt(attempts, shard, send_reason::retry, now);
        else if (mayHedge(state) && now >= state.lastSent + m_plan.hedgeDelay)
            planAttempt(attempts, shard, send_reason::hedge, now);
    }
    return attempts;
}

time_point request_run::nextWake(time_point now) const
{
    time_point next = m_plan.deadline;
    if (m_plan.isSharded && now < m_plan.softDeadline)
        next = std::min(next, m_plan.softDeadline);
    for (const shard_state &state : m_shards) {
        if (state.answered)
            continue;
        if (mayHedge(state))
            next = std::min(next, std::max(state.lastSent + m_plan.hedgeDelay, state.retryAt));
        else if (state.outstanding.empty() && mayRetry(state))
            next = std::min(next, state.retryAt);
    }
    return next;
}

bool request_run::isComplete(time_point now) const
{
    if (m_answered == m_shards.size() || now >= m_plan.deadline)
        return true;
    if (m_plan.isSharded && now >= m_plan.softDeadline && isSuccess())
        return true;
    // Enough shards have responded, and no attempt in progress could add another one.
    if (isSuccess() && !hasPendingShard())
        return true;
    // Too many shards are exhausted for the rest to be enough.
    const auto exhausted = static_cast<std::size_t>(
        std::count_if(m_shards.begin(), m_shards.end(),
                      [this](const shard_state &state) { return isExhausted(state); }));
    return m_shards.size() - exhausted < requiredShards();
}

bool request_run::isSuccess() const
{
    return m_answered >= requiredShards();
}

bool request_run::hasDefinitelyNotRun() const
{
    return std::all_of(m_shards.begin(), m_shards.end(), [](const shard_state &state) {
        return !state.answered && !state.mayHaveRun && state.outstanding.empty();
    });
}

time_point request_run::enoughAvailableAt() const
{
    std::vector<time_point> times;
    for (const shard_state &state : m_shards)
        times.push_back(state.isUnavailable ? state.availableAt : time_point());
    const auto last = times.begin() + static_cast<std::ptrdiff_t>(requiredShards() - 1);
    std::nth_element(times.begin(), last, times.end());
    return *last;
}

bool request_run::hasOutstanding() const
{
    return std::any_of(m_shards.begin(), m_shards.end(),
                       [](const shard_state &state) { return !state.outstanding.empty(); });
}

void request_run::planAttempt(std::vector<planned_attempt> &attempts, std::size_t shard,
                              send_reason reason, time_point now)
{
    shard_state &state = m_shards[shard];
    const std::string &service = m_plan.services[shard];
    const bool isRepeat = reason == send_reason::hedge || state.mayHaveReachedTarget;
    if (isRepeat && !m_budget.mayRepeat(service, now)) {
        state.retryAt = now + retry_delay;
        state.isBudgetExhausted = true;
        return;
    }
    state.isBudgetExhausted = false;
    auto target = m_selector.choose(service, state.triedTargets, now);
    if (!target) {
        if (reason == send_reason::retry && !state.mayHaveRun)
            state.triedTargets.clear(); // all targets refused: start over after a delay
        state.retryAt = now + retry_delay;
        state.availableAt = m_selector.availableAt(service, now);
        state.isUnavailable = state.availableAt > now;
        return;
    }
    state.isUnavailable = false;
    if (isRepeat)
        m_budget.onRepeated(service, now);
    state.triedTargets.insert(target->entry.id);
    ++state.possibleRuns;
    state.lastSent = now;
    const std::uint64_t attempt = ++m_lastAttempt;
    state.outstanding.insert(attempt);
    attempts.push_back({ shard, attempt, std::move(target), reason });
}

bool request_run::mayRetry(const shard_state &state) const
{
    if (m_isSendingStopped)
        return false;
    if (state.mayHaveRun && m_plan.kind == request_kind::non_idempotent)
        return false;
    return state.possibleRuns < m_plan.maxAttempts && state.refusals < max_refusals;
}

bool request_run::mayHedge(const shard_state &state) const
{
    return !m_isSendingStopped && m_plan.hedgeDelay > duration(0)
        && m_plan.kind == request_kind::idempotent && state.outstanding.size() == 1
        && state.possibleRuns < m_plan.maxAttempts && isWithinHedgeLimit();
}

// Whether no response from a shard is expected any more. A shard for which no target was found at
// the start is exhausted immediately.
bool request_run::isExhausted(const shard_state &state) const
{
    if (state.answered || !state.outstanding.empty())
        return false;
    if (state.isUnavailable)
        return true;
    if (state.isBudgetExhausted && state.mayHaveRun)
        return true; // the budget will not recover before the caller's deadline
    return !mayRetry(state) || state.possibleRuns + state.refusals == 0;
}

bool request_run::hasPendingShard() const
{
    return std::any_of(m_shards.begin(), m_shards.end(), [](const shard_state &state) {
        return !state.answered && !state.outstanding.empty();
    });
}

// Whether few enough shards are unanswered to send hedges. With more of them, the cause is not a
// single target, and hedges would only add load.
bool request_run::isWithinHedgeLimit() const
{
    const std::size_t unanswered = m_shards.size() - m_answered;
    return static_cast<double>(unanswered)
        <= std::max(1.0, max_hedged_fraction * static_cast<double>(m_shards.size()));
}

std::size_t request_run::requiredShards() const
{
    const double required = m_plan.minSuccessShare * static_cast<double>(m_shards.size());
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(required - rounding_tolerance)));
}

} // namespace gooseberrymoor
