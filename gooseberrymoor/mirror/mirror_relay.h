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

// Passes what this node read from the store to its peers, and what they read to its followers and
// on to further peers.
// Not thread-safe. What is passed by reference must outlive it.
class mirror_relay : public frame_handler
{
public:
    mirror_relay(peer_network &network, const relay_topology &audience, counters &events);

    // Updates for `prefix` go to `follower`.
    void add(const std::string &prefix, mirror_follower &follower);

    // Sends `update`, which this node has read, to the reader's audience.
    void share(const mirror_update &update);

    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &) override { }

private:
    void passOn(const mirror_update &update, const std::string &reader);
    void send(const std::vector<std::string> &peers, std::span<const std::uint8_t> payload);

    peer_network &m_network;
    const relay_topology &m_audience;
    counters &m_events;
    std::map<std::string, mirror_follower *> m_followers; // by prefix
};

} // namespace gooseberrymoor
