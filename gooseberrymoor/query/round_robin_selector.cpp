#include "gooseberrymoor/query/round_robin_selector.h"

namespace gooseberrymoor {

std::size_t round_robin_selector::choose(const std::vector<leaf_candidate> &candidates,
                                         std::span<const std::size_t> eligible, time_point)
{
    const std::size_t turn = m_turns[candidates.front().key]++;
    return eligible[turn % eligible.size()];
}

void round_robin_selector::onSent(const std::string &) { }

void round_robin_selector::onEnded(const std::string &, const leaf_outcome &, time_point) { }

} // namespace gooseberrymoor
