#include "gooseberrymoor/forward/request_run.h"

#include "gooseberrymoor/forward/repeat_budget.h"
#include "gooseberrymoor/replica/replica_selector.h"
#include "gooseberrymoor/replica/replica_set.h"

#include <algorithm>
#include <cmath>

namespace gooseberrymoor {

namespace {

constexpr unsigned most_refusals = 4; // of one shard's attempts, until it is given up
constexpr duration retry_pause { 15 }; // after every target of a shard has refused
constexpr double most_hedged_share = 0.5; // of the shards of a request
constexpr double rounding = 1e-9;

} // namespace

request_run::request_run(run_plan plan, replica_selector &selector, repeat_budget &budget)
    : m_plan(std::move(plan)), m_selector(selector), m_budget(budget),
      m_shards(m_plan.services.size())
{
}

std::vector<planned_attempt> request_run::start(time_point now)
{
    std::vector<planned_attempt> sends;
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        m_budget.onRequest(m_plan.services[shard], now);
        send(sends, shard, send_reason::first, now);
    }
    if (sends.size() >= leastShards())
        return sends;
    // No success is possible, so no target is bothered.
    m_shards.assign(m_shards.size(), shard_state());
    return {};
}

std::vector<planned_attempt> request_run::onEnding(std::size_t shard, std::uint64_t attempt,
                                                   attempt_outcome ending, time_point now)
{
    shard_state &state = m_shards[shard];
    if (state.outstanding.erase(attempt) == 0)
        return {};
    if (ending == attempt_outcome::answered) {
        if (!state.answered)
            ++m_answered;
        state.answered = true;
        return {};
    }
    if (hasNotRun(ending)) {
        --state.runs;
        ++state.refusals;
    } else {
        state.mayHaveRun = true;
    }
    state.arrived = state.arrived || ending != attempt_outcome::unreachable;
    std::vector<planned_attempt> sends;
    if (!state.answered && state.outstanding.empty() && mayRetry(state) && now < m_plan.deadline)
        send(sends, shard, send_reason::retry, now);
    return sends;
}

std::vector<planned_attempt> request_run::onTime(time_point now)
{
    std::vector<planned_attempt> sends;
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        shard_state &state = m_shards[shard];
        if (state.answered)
            continue;
        if (state.outstanding.empty() && mayRetry(state) && now >= state.retryAt)
            send(sends, shard, send_reason::retry, now);
        else if (mayHedge(state) && now >= state.lastSent + m_plan.hedgeDelay)
            send(sends, shard, send_reason::hedge, now);
    }
    return sends;
}

time_point request_run::nextWake(time_point now) const
{
    time_point next = m_plan.deadline;
    if (m_plan.isSharded && now < m_plan.answerBy)
        next = std::min(next, m_plan.answerBy);
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
    if (m_plan.isSharded && now >= m_plan.answerBy && isSuccess())
        return true;
    // Enough have answered, and nothing is under way that could add to them.
    if (isSuccess() && !hasUnansweredOutstanding())
        return true;
    // So many shards are lost that the rest can't be enough.
    const auto lost = static_cast<std::size_t>(
        std::count_if(m_shards.begin(), m_shards.end(),
                      [this](const shard_state &state) { return isLost(state); }));
    return m_shards.size() - lost < leastShards();
}

bool request_run::isSuccess() const
{
    return m_answered >= leastShards();
}

bool request_run::hasDefinitelyNotRun() const
{
    return std::all_of(m_shards.begin(), m_shards.end(), [](const shard_state &state) {
        return !state.answered && !state.mayHaveRun && state.outstanding.empty();
    });
}

bool request_run::hasOutstanding() const
{
    return std::any_of(m_shards.begin(), m_shards.end(),
                       [](const shard_state &state) { return !state.outstanding.empty(); });
}

void request_run::send(std::vector<planned_attempt> &sends, std::size_t shard, send_reason reason,
                       time_point now)
{
    shard_state &state = m_shards[shard];
    const std::string &service = m_plan.services[shard];
    const bool isExtra = reason == send_reason::hedge || state.arrived;
    if (isExtra && !m_budget.mayRepeat(service, now)) {
        state.retryAt = now + retry_pause;
        state.denied = true;
        return;
    }
    state.denied = false;
    auto target = m_selector.choose(service, state.tried, now);
    if (!target && reason == send_reason::retry && !state.mayHaveRun) {
        state.tried.clear(); // all have refused: begin again after a pause
        state.retryAt = now + retry_pause;
        return;
    }
    if (!target) {
        state.retryAt = now + retry_pause;
        return;
    }
    if (isExtra)
        m_budget.onRepeated(service, now);
    state.tried.insert(target->entry.id);
    ++state.runs;
    state.lastSent = now;
    const std::uint64_t attempt = ++m_lastAttempt;
    state.outstanding.insert(attempt);
    sends.push_back({ shard, attempt, std::move(target), reason });
}

bool request_run::mayRetry(const shard_state &state) const
{
    if (state.mayHaveRun && m_plan.kind == request_kind::non_idempotent)
        return false;
    return state.runs < m_plan.maxAttempts && state.refusals < most_refusals;
}

bool request_run::mayHedge(const shard_state &state) const
{
    return m_plan.hedgeDelay > duration(0) && m_plan.kind == request_kind::idempotent
        && state.outstanding.size() == 1 && state.runs < m_plan.maxAttempts && isNearlyAnswered();
}

// Whether a shard will not answer any more. One without any target counts at once.
bool request_run::isLost(const shard_state &state) const
{
    if (state.answered || !state.outstanding.empty())
        return false;
    if (state.denied && state.mayHaveRun)
        return true; // the budget won't be better within the caller's time
    return !mayRetry(state) || state.runs + state.refusals == 0;
}

bool request_run::hasUnansweredOutstanding() const
{
    return std::any_of(m_shards.begin(), m_shards.end(), [](const shard_state &state) {
        return !state.answered && !state.outstanding.empty();
    });
}

// With more silent shards than this the cause is not one target, and hedges would only add load.
bool request_run::isNearlyAnswered() const
{
    const std::size_t silent = m_shards.size() - m_answered;
    return static_cast<double>(silent)
        <= std::max(1.0, most_hedged_share * static_cast<double>(m_shards.size()));
}

std::size_t request_run::leastShards() const
{
    const double least = m_plan.minSuccessShare * static_cast<double>(m_shards.size());
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(least - rounding)));
}

} // namespace gooseberrymoor
