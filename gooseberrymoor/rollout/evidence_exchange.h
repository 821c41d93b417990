#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/peer/frame_handler.h"
#include "gooseberrymoor/rollout/leaf_observer.h"
#include "gooseberrymoor/rollout/version_evidence.h"
#include "gooseberrymoor/rollout/wall_time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace gooseberrymoor {

class counters;
class peer_network;
struct cell_view;

// Counts the leaf requests of this node by version, sends closed windows to the nodes that drive
// the moves of the services, and receives the windows of its peers. Not thread-safe.
class evidence_exchange : public leaf_observer, public frame_handler
{
public:
    // Returns the latest view of the cell.
    using view_source = std::function<const cell_view &()>;

    // References must outlive the exchange.
    evidence_exchange(asio::any_io_executor executor, std::string ownName, peer_network &network,
                      view_source view, wall_clock wallNow, counters &events);

    void onLeafEnded(const leaf_observation &observation) override;
    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &channel) override;

    // Sends closed windows until `stop` is called.
    asio::awaitable<void> run();

    // Makes `run` return at its next wait.
    void stop();

    // The evidence of this node and of its peers.
    const version_evidence &evidence() const { return m_evidence; }

private:
    void sendClosedWindows();
    bool sendWindow(const evidence_window &window);

    std::string m_ownName;
    peer_network &m_network;
    view_source m_view;
    wall_clock m_wallNow;
    counters &m_events;
    signal m_wake;
    version_evidence m_evidence;
    std::int64_t m_nextIndex = 0; // first window that has not been sent
    std::int64_t m_viewEpoch = 0; // epoch of the view that windows were sent to
    bool m_stopped = false;
};

} // namespace gooseberrymoor
