#pragma once

#include "gooseberrymoor/query/leaf_selector.h"

#include <cstdint>
#include <random>
#include <unordered_map>

namespace gooseberrymoor {

// Chooses the candidate with the fewest outstanding requests of this node; breaks ties at random.
class least_outstanding_selector : public leaf_selector
{
public:
    explicit least_outstanding_selector(std::uint64_t seed);

    std::size_t choose(const std::vector<leaf_candidate> &candidates,
                       std::span<const std::size_t> eligible, time_point now) override;
    void onSent(const std::string &target) override;
    void onEnded(const std::string &target, const leaf_outcome &outcome, time_point now) override;

private:
    std::mt19937_64 m_random;
    std::unordered_map<std::string, int> m_outstanding;
};

} // namespace gooseberrymoor
