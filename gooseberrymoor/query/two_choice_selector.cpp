#include "gooseberrymoor/query/two_choice_selector.h"

#include "gooseberrymoor/query/leaf_outcome.h"

#include <algorithm>
#include <cmath>

namespace gooseberrymoor {

namespace {

constexpr double ewma_weight = 0.2; // of a new sample
constexpr double min_failure_latency_ms = 500;
constexpr double min_latency_ms = 1;
constexpr double half_life_ms = 1000; // of a target's statistics

// Returns whether `kind` is attributed to the target, its owner or the link to the owner.
bool countsAgainstTarget(error_kind kind)
{
    return kind != error_kind::none && kind != error_kind::cancelled
        && kind != error_kind::bad_request;
}

double toMillis(duration value)
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
    const double firstWaitMs = expectedWaitMs(candidates[first], now);
    const double secondWaitMs = expectedWaitMs(candidates[second], now);
    if (firstWaitMs == secondWaitMs)
        return candidates[second].availabilityZone == m_ownZone ? second : first;
    return firstWaitMs < secondWaitMs ? first : second;
}

void two_choice_selector::onSent(const std::string &target)
{
    ++m_targets[target].outstanding;
}

void two_choice_selector::onEnded(const std::string &target, const leaf_outcome &outcome,
                                  time_point now)
{
    target_state &state = m_targets[target];
    state.outstanding = std::max(0, state.outstanding - 1);
    double latency = std::max(toMillis(outcome.latency), min_latency_ms);
    // The latency of a cancelled request is only a lower bound.
    if (outcome.error == error_kind::cancelled && latency <= state.latencyMs)
        return;
    if (countsAgainstTarget(outcome.error))
        latency = std::max(latency, min_failure_latency_ms);
    decay(state, now);
    const bool isFirstSample = state.latencyMs == 0;
    state.latencyMs
        = isFirstSample ? latency : state.latencyMs + ewma_weight * (latency - state.latencyMs);
    if (outcome.error != error_kind::cancelled)
        state.queued = outcome.queued;
    state.updatedAt = now;
}

double two_choice_selector::expectedWaitMs(const leaf_candidate &candidate, time_point now) const
{
    const auto found = m_targets.find(candidate.key);
    if (found == m_targets.end())
        return min_latency_ms;
    target_state state = found->second;
    decay(state, now);
    const double latency = std::max(std::round(state.latencyMs), min_latency_ms);
    return (state.outstanding + state.queued + 1) * latency;
}

void two_choice_selector::decay(target_state &state, time_point now) const
{
    const double decayFactor = std::exp2(-toMillis(now - state.updatedAt) / half_life_ms);
    state.latencyMs *= decayFactor;
    state.queued = std::floor(state.queued * decayFactor);
}

} // namespace gooseberrymoor
