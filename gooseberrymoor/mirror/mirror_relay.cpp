#include "gooseberrymoor/mirror/mirror_relay.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/mirror/mirror_follower.h"
#include "gooseberrymoor/mirror/mirror_update_codec.h"
#include "gooseberrymoor/mirror/relay_topology.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"

namespace gooseberrymoor {

mirror_relay::mirror_relay(peer_network &network, const relay_topology &topology, counters &events)
    : m_network(network), m_topology(topology), m_events(events)
{
    m_network.setHandler(message_kind::mirror_update, *this);
}

void mirror_relay::addFollower(const std::string &prefix, mirror_follower &follower)
{
    m_followers[prefix] = &follower;
}

void mirror_relay::publish(const mirror_update &update)
{
    send(m_topology.recipientsOfReader(m_network.connectedPeers(), millis_clock::now()),
         encodeMirrorUpdate(update));
}

void mirror_relay::send(const std::vector<std::string> &peers,
                        std::span<const std::uint8_t> payload)
{
    for (const std::string &peer : peers) {
        if (const auto channel = m_network.channelTo(peer)) {
            channel->send(message_kind::mirror_update, payload);
            m_events.add("mirror_updates_sent");
            m_events.add("mirror_update_bytes_sent", payload.size());
        }
    }
}

void mirror_relay::relayUpdate(const mirror_update &update, const std::string &reader)
{
    const auto peers = m_topology.recipientsOfRelay(m_network.connectedPeers(), reader);
    if (peers.empty())
        return; // avoids the copy on most nodes
    mirror_update relayed = update;
    relayed.isRelayed = true;
    send(peers, encodeMirrorUpdate(relayed));
}

bool mirror_relay::onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message)
{
    const auto update = decodeMirrorUpdate(message.payload);
    if (!update)
        return false;
    m_events.add("mirror_updates_received");
    if (!update->isRelayed)
        relayUpdate(*update, channel->peerName());
    const auto follower = m_followers.find(update->prefix);
    if (follower != m_followers.end())
        follower->second->onUpdate(*update);
    return true;
}

} // namespace gooseberrymoor
