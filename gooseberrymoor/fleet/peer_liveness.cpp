#include "gooseberrymoor/fleet/peer_liveness.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration longest_silence { 900 }; // three beats

} // namespace

peer_liveness::peer_liveness(std::string ownName) : m_ownName(std::move(ownName)) { }

void peer_liveness::onHeartbeat(const std::string &peer, bool leaving, bool storeLost,
                                time_point now)
{
    m_peers[peer] = { now, leaving, storeLost };
}

bool peer_liveness::isHeard(const std::string &peer, time_point now) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && now - found->second.heard <= longest_silence;
}

bool peer_liveness::hearsAnyone(time_point now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &each) {
        return now - each.second.heard <= longest_silence;
    });
}

bool peer_liveness::isLeaving(const std::string &peer) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.leaving;
}

bool peer_liveness::isReader(time_point now) const
{
    if (m_leaving || m_storeLost)
        return false;
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &each) {
        const auto &[name, state] = each;
        return name < m_ownName && now - state.heard <= longest_silence && !state.leaving
            && !state.storeLost;
    });
}

} // namespace gooseberrymoor
