#include "gooseberrymoor/query/least_outstanding_selector.h"

namespace gooseberrymoor {

least_outstanding_selector::least_outstanding_selector(std::uint64_t seed) : m_random(seed) { }

std::optional<std::size_t>
least_outstanding_selector::choose(const std::string &service,
                                   const std::vector<leaf_candidate> &candidates,
                                   const std::set<std::string> &excluded)
{
    std::vector<std::size_t> best;
    int fewest = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (excluded.contains(candidates[i].target))
            continue;
        const auto found = m_outstanding.find(service + "/" + candidates[i].target);
        const int outstanding = found == m_outstanding.end() ? 0 : found->second;
        if (best.empty() || outstanding < fewest) {
            best.clear();
            fewest = outstanding;
        }
        if (outstanding == fewest)
            best.push_back(i);
    }
    if (best.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
    return best[pick(m_random)];
}

void least_outstanding_selector::onSent(const std::string &target)
{
    ++m_outstanding[target];
}

void least_outstanding_selector::onEnded(const std::string &target)
{
    const auto found = m_outstanding.find(target);
    if (found != m_outstanding.end() && --found->second <= 0)
        m_outstanding.erase(found);
}

} // namespace gooseberrymoor
