#pragma once

#include "gooseberrymoor/query/leaf_selector.h"

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>

namespace gooseberrymoor {

// Power of two choices: draws two candidates at random and returns the one with the lower expected
// wait, which is the recent latency times the number of requests that are outstanding here or
// queued at the owner. Failures count as long latencies, so a target that fails fast attracts no
// traffic. The statistics of a target decay over time, so that it is tried again. Ties go to the
// candidate in this node's availability zone.
class two_choice_selector : public leaf_selector
{
public:
    two_choice_selector(std::string ownZone, std::uint64_t seed);

    std::size_t choose(const std::vector<leaf_candidate> &candidates,
                       std::span<const std::size_t> eligible, time_point now) override;
    void onSent(const std::string &target) override;
    void onEnded(const std::string &target, const leaf_outcome &outcome, time_point now) override;

private:
    struct target_state
    {
        int outstanding = 0;
        double queued = 0; // queue length that the owner last reported
        double latencyMs = 0; // exponentially weighted moving average; 0 until the first sample
        time_point updatedAt {};
    };

    double expectedWaitMs(const leaf_candidate &candidate, time_point now) const;
    void decay(target_state &state, time_point now) const;

    std::string m_ownZone;
    std::mt19937_64 m_random;
    std::unordered_map<std::string, target_state> m_targets;
};

} // namespace gooseberrymoor
