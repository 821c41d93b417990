#pragma once

#include "gooseberrymoor/query/leaf_selector.h"

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>

namespace gooseberrymoor {

// Draws two candidates at random and takes the one with the lower expected wait: requests that
// are outstanding here or wait at the owner, times the recent latency. Failures count as long
// latencies, so that a target that fails fast attracts nothing. What was learned of a target is
// forgotten step by step, so that it is tried again. Of two equals the one in the own
// availability zone is taken.
class two_choice_selector : public leaf_selector
{
public:
    two_choice_selector(std::string ownZone, std::uint64_t seed);

    std::size_t choose(const std::vector<leaf_candidate> &candidates,
                       std::span<const std::size_t> eligible, time_point now) override;
    void onSent(const std::string &target) override;
    void onEnded(const std::string &target, const leaf_outcome &ending, time_point now) override;

private:
    struct target_state
    {
        int outstanding = 0;
        double queued = 0; // as the owner last said
        double latencyMs = 0; // moving average
        time_point learnedAt {};
    };

    double expectedWait(const leaf_candidate &candidate, time_point now) const;
    void forget(target_state &state, time_point now) const;

    std::string m_ownZone;
    std::mt19937_64 m_random;
    std::unordered_map<std::string, target_state> m_targets;
};

} // namespace gooseberrymoor
