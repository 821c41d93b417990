#include "gooseberrymoor/query/least_outstanding_selector.h"

namespace gooseberrymoor {

least_outstanding_selector::least_outstanding_selector(std::uint64_t seed) : m_random(seed) { }

std::size_t least_outstanding_selector::choose(const std::vector<leaf_candidate> &candidates,
                                               std::span<const std::size_t> eligible, time_point)
{
    std::vector<std::size_t> best;
    int fewest = 0;
    for (const std::size_t index : eligible) {
        const auto found = m_outstanding.find(candidates[index].key);
        const int outstanding = found == m_outstanding.end() ? 0 : found->second;
        if (best.empty() || outstanding < fewest) {
            best.clear();
            fewest = outstanding;
        }
        if (outstanding == fewest)
            best.push_back(index);
    }
    std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
    return best[pick(m_random)];
}

void least_outstanding_selector::onSent(const std::string &target)
{
    ++m_outstanding[target];
}

void least_outstanding_selector::onEnded(const std::string &target, const leaf_outcome &,
                                         time_point)
{
    const auto found = m_outstanding.find(target);
    if (found != m_outstanding.end() && --found->second <= 0)
        m_outstanding.erase(found);
}

} // namespace gooseberrymoor
