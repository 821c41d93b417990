#pragma once

#include "gooseberrymoor/mirror/mirror_update.h"
#include "gooseberrymoor/peer/frame_handler.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace gooseberrymoor {

class counters;
class mirror_follower;
class peer_network;
class relay_topology;

// Sends the updates that this node has read from the store to its peers. Passes the updates that
// peers have read to this node's followers and relays them to further peers.
// Not thread-safe. What is passed by reference must outlive it.
class mirror_relay : public frame_handler
{
public:
    mirror_relay(peer_network &network, const relay_topology &topology, counters &events);

    // Passes received updates for `prefix` to `follower`.
    void addFollower(const std::string &prefix, mirror_follower &follower);

    // Sends `update`, which this node has read from the store as the reader.
    void publish(const mirror_update &update);

    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &) override { }

private:
    void relayUpdate(const mirror_update &update, const std::string &reader);
    void send(const std::vector<std::string> &peers, std::span<const std::uint8_t> payload);

    peer_network &m_network;
    const relay_topology &m_topology;
    counters &m_events;
    std::map<std::string, mirror_follower *> m_followers; // by prefix
};

} // namespace gooseberrymoor
