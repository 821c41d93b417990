#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/configuration/configuration_listener.h"
#include "gooseberrymoor/peer/frame_handler.h"

#include <memory>

namespace gooseberrymoor {

class configuration_updater;
class configuration_sync_policy;
class counters;
class peer_network;
struct configuration_message;

// Announces this node's active configuration to its peers and fetches newer ones from them.
// Not thread-safe.
class configuration_relay : public frame_handler, public configuration_listener
{
public:
    // All references must outlive the relay. `interval` is the time between announcements.
    configuration_relay(asio::any_io_executor executor, configuration_updater &updater,
                        configuration_sync_policy &syncPolicy, peer_network &network,
                        duration interval, counters &events);

    // Announces periodically until `stop`.
    asio::awaitable<void> run();

    // Ends `run` at its current or next wait.
    void stop();

    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &) override { }
    void onConfigurationActivated() override;

private:
    void announceToAll();
    void send(peer_channel &channel, const configuration_message &message);

    configuration_updater &m_updater;
    configuration_sync_policy &m_syncPolicy;
    peer_network &m_network;
    duration m_interval;
    counters &m_events;
    signal m_wake;
    bool m_stopped = false;
};

} // namespace gooseberrymoor
