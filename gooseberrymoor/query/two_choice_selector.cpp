#include "gooseberrymoor/query/two_choice_selector.h"

#include "gooseberrymoor/query/leaf_outcome.h"

#include <algorithm>
#include <cmath>

namespace gooseberrymoor {

namespace {

constexpr double average_weight = 0.2; // of a new latency in the moving average
constexpr double failure_latency_ms = 500; // what a failure counts as, at least
constexpr double shortest_latency_ms = 1;
constexpr double half_life_ms = 1000; // after which half of what was learned is forgotten

// Whether `kind` speaks against the target or the way to it.
bool isFailure(error_kind kind)
{
    return kind != error_kind::none && kind != error_kind::cancelled
        && kind != error_kind::bad_request;
}

double millisOf(duration value)
{
    return static_cast<double>(value.count());
}

} // namespace

two_choice_selector::two_choice_selector(std::string ownZone, std::uint64_t seed)
    : m_ownZone(std::move(ownZone)), m_random(seed)
{
}

std::size_t two_choice_selector::choose(const std::vector<leaf_candidate> &candidates,
                                        std::span<const std::size_t> eligible, time_point now)
{
    const std::size_t count = eligible.size();
    if (count == 1)
        return eligible.front();
    const std::size_t firstDraw = m_random() % count;
    const std::size_t secondDraw = (firstDraw + 1 + m_random() % (count - 1)) % count;
    const std::size_t first = eligible[firstDraw];
    const std::size_t second = eligible[secondDraw];
    const double firstWait = expectedWait(candidates[first], now);
    const double secondWait = expectedWait(candidates[second], now);
    if (firstWait == secondWait)
        return candidates[second].availabilityZone == m_ownZone ? second : first;
    return firstWait < secondWait ? first : second;
}

void two_choice_selector::onSent(const std::string &target)
{
    ++m_targets[target].outstanding;
}

void two_choice_selector::onEnded(const std::string &target, const leaf_outcome &ending,
                                  time_point now)
{
    target_state &state = m_targets[target];
    state.outstanding = std::max(0, state.outstanding - 1);
    double latency = std::max(millisOf(ending.latency), shortest_latency_ms);
    // Of a request that was given up only a lower bound is known.
    if (ending.error == error_kind::cancelled && latency <= state.latencyMs)
        return;
    if (isFailure(ending.error))
        latency = std::max(latency, failure_latency_ms);
    forget(state, now);
    const bool first = state.latencyMs == 0;
    state.latencyMs
        = first ? latency : state.latencyMs + average_weight * (latency - state.latencyMs);
    if (ending.error != error_kind::cancelled)
        state.queued = ending.queued;
    state.learnedAt = now;
}

double two_choice_selector::expectedWait(const leaf_candidate &candidate, time_point now) const
{
    const auto found = m_targets.find(candidate.key);
    if (found == m_targets.end())
        return shortest_latency_ms;
    target_state state = found->second;
    forget(state, now);
    const double latency = std::max(std::round(state.latencyMs), shortest_latency_ms);
    return (state.outstanding + state.queued + 1) * latency;
}

void two_choice_selector::forget(target_state &state, time_point now) const
{
    const double kept = std::exp2(-millisOf(now - state.learnedAt) / half_life_ms);
    state.latencyMs *= kept;
    state.queued = std::floor(state.queued * kept);
}

} // namespace gooseberrymoor
