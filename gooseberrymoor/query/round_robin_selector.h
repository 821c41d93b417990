#pragma once

#include "gooseberrymoor/query/leaf_selector.h"

#include <unordered_map>

namespace gooseberrymoor {

// Cycles through the candidates regardless of their load; the baseline for benchmarks.
class round_robin_selector : public leaf_selector
{
public:
    std::size_t choose(const std::vector<leaf_candidate> &candidates,
                       std::span<const std::size_t> eligible, time_point now) override;
    void onSent(const std::string &target) override;
    void onEnded(const std::string &target, const leaf_outcome &outcome, time_point now) override;

private:
    std::unordered_map<std::string, std::size_t> m_turns; // by key of a group's first candidate
};

} // namespace gooseberrymoor
