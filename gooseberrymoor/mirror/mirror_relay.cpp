#include "gooseberrymoor/mirror/mirror_relay.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/mirror/mirror_follower.h"
#include "gooseberrymoor/mirror/mirror_update_codec.h"
#include "gooseberrymoor/mirror/relay_topology.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"

namespace gooseberrymoor {

mirror_relay::mirror_relay(peer_network &network, const relay_topology &audience, counters &events)
    : m_network(network), m_audience(audience), m_events(events)
{
    m_network.setHandler(message_kind::mirror_update, *this);
}

void mirror_relay::add(const std::string &prefix, mirror_follower &follower)
{
    m_followers[prefix] = &follower;
}

void mirror_relay::share(const mirror_update &update)
{
    send(m_audience.recipientsOfReader(m_network.connectedPeers(), millis_clock::now()),
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

void mirror_relay::passOn(const mirror_update &update, const std::string &reader)
{
    const auto peers = m_audience.recipientsOfRelay(m_network.connectedPeers(), reader);
    if (peers.empty())
        return; // most nodes: nothing is copied
    mirror_update further = update;
    further.passedOn = true;
    send(peers, encodeMirrorUpdate(further));
}

bool mirror_relay::onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message)
{
    const auto update = decodeMirrorUpdate(message.payload);
    if (!update)
        return false;
    m_events.add("mirror_updates_received");
    if (!update->passedOn)
        passOn(*update, channel->peerName());
    const auto follower = m_followers.find(update->prefix);
    if (follower != m_followers.end())
        follower->second->onUpdate(*update);
    return true;
}

} // namespace gooseberrymoor
