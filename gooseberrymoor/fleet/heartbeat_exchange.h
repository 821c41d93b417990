#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/fleet/peer_report.h"
#include "gooseberrymoor/peer/frame_handler.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class counters;
class event_log;
class peer_liveness;
class peer_network;

// The task that sends this node's heartbeats and passes received ones to `peer_liveness`. Its
// `heartbeatRecipients` get a heartbeat at a fixed interval, a newly connected peer gets one
// immediately, and every connected peer gets one when this node's report changes.
// Not thread-safe. What is passed by reference must outlive the task.
class heartbeat_exchange : public frame_handler
{
public:
    heartbeat_exchange(asio::any_io_executor executor, peer_network &network,
                       peer_liveness &liveness, event_log &log, counters &events);

    // Sends heartbeats until `stop` is called.
    asio::awaitable<void> run();
    void stop();

    // Sends a heartbeat to every connected peer immediately, for a change of this node's report.
    void announce();

    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &) override { }

private:
    void onTime(time_point now);
    void sendToNewPeers();
    void logSilenceChanges(const std::set<std::string> &before, const std::set<std::string> &after);
    void sendTo(const std::vector<std::string> &peers);

    peer_network &m_network;
    peer_liveness &m_liveness;
    event_log &m_log;
    counters &m_events;
    signal m_wake;
    std::vector<std::string> m_connected; // at the last check; sorted by name
    peer_report m_announced; // the last report sent to all connected peers
    time_point m_announcedAt {};
    time_point m_lastHeartbeatAt {};
    bool m_stopped = false;
};

} // namespace gooseberrymoor
