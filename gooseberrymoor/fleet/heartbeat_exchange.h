#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/peer/frame_handler.h"

#include <cstdint>
#include <memory>

namespace gooseberrymoor {

class counters;
class peer_liveness;
class peer_network;

// The task that sends this node's heartbeat to every linked peer, and takes in theirs.
// Not thread-safe. What is passed by reference must outlive the task.
class heartbeat_exchange : public frame_handler
{
public:
    heartbeat_exchange(asio::any_io_executor executor, std::uint64_t incarnation,
                       peer_network &network, peer_liveness &liveness, counters &events);

    // Beats until `stop`.
    asio::awaitable<void> run();
    void stop();

    // From now on the heartbeats say that this node leaves; the next one goes out at once.
    void setLeaving();

    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &) override { }

private:
    void beat();

    std::uint64_t m_incarnation;
    peer_network &m_network;
    peer_liveness &m_liveness;
    counters &m_events;
    signal m_wake;
    bool m_leaving = false;
    bool m_stopped = false;
};

} // namespace gooseberrymoor
