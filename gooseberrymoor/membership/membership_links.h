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

// Sends and receives the messages of `ownership` over the links to the peers. One task for each
// peer sends it the requests that are due each heartbeat interval, and closes a link that has gone
// silent, so that it is connected again. Not thread-safe.
class membership_links : public frame_handler
{
public:
    // Performs the remaining actions after their messages have been sent.
    using action_handler = std::function<void(const ownership_actions &)>;

    // All references must outlive the last task.
    membership_links(asio::any_io_executor executor, peer_network &network, ownership &state,
                     duration heartbeat, duration silenceTimeout, counters &events,
                     action_handler actionHandler);

    // Sets the peers to which requests are sent each heartbeat interval.
    void setPeers(const std::set<std::string> &peers);

    // Sends the messages of `actions`; those to peers without a link are dropped.
    void send(const ownership_actions &actions);

    // Makes all tasks end at their next wait.
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
    action_handler m_actionHandler;
    signal m_wake;
    std::set<std::string> m_peers;
    std::set<std::string> m_peersWithTask;
    std::set<std::shared_ptr<peer_channel>> m_acceptedLinks; // on which peers send requests
    bool m_monitoring = false;
    bool m_stopped = false;
};

} // namespace gooseberrymoor
