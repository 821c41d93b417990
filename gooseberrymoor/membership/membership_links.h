#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/peer/frame_handler.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class counters;
class ownership;
class peer_channel;
class peer_network;
struct membership_message;
struct ownership_actions;

// Carries the messages of `ownership` over the links to the peers. One task for each peer sends
// it what is due each heartbeat, and closes its link when that has gone silent, so that it is
// dialled anew. Not thread-safe.
class membership_links : public frame_handler
{
public:
    // Does what remains of actions after their messages were sent.
    using follow_up = std::function<void(const ownership_actions &)>;

    // All references must outlive the last task.
    membership_links(asio::any_io_executor executor, peer_network &network, ownership &decision,
                     duration heartbeat, duration silence, counters &events, follow_up followUp);

    // Has a task for exactly `peers` from now on.
    void setPeers(const std::set<std::string> &peers);

    // Sends the messages over the links that there are; others are dropped.
    void send(const ownership_actions &actions);

    // Ends all tasks at their next wait.
    void stop();

    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &channel) override;

private:
    asio::awaitable<void> peerTask(std::string peer);
    asio::awaitable<void> monitorAcceptedLinks();
    bool wasOnTime(time_point due) const;
    void closeIfSilent(const std::shared_ptr<peer_channel> &channel);
    void sendOn(peer_channel &channel, const membership_message &message);

    asio::any_io_executor m_executor;
    peer_network &m_network;
    ownership &m_ownership;
    duration m_heartbeat;
    duration m_silenceTimeout;
    counters &m_events;
    follow_up m_followUp;
    signal m_wake;
    std::set<std::string> m_peers;
    std::set<std::string> m_peersWithTask; // peers with a task
    std::set<std::shared_ptr<peer_channel>> m_accepted; // links on which peers ask
    bool m_monitoring = false;
    bool m_stopped = false;
};

} // namespace gooseberrymoor
