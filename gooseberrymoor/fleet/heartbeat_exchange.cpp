#include "gooseberrymoor/fleet/heartbeat_exchange.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/fleet/fleet_heartbeat_generated.h"
#include "gooseberrymoor/fleet/peer_liveness.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/peer/wire.h"

namespace gooseberrymoor {

namespace {

constexpr duration beat_interval { 300 };

} // namespace

heartbeat_exchange::heartbeat_exchange(asio::any_io_executor executor, std::uint64_t incarnation,
                                       peer_network &network, peer_liveness &liveness,
                                       counters &events)
    : m_incarnation(incarnation), m_network(network), m_liveness(liveness), m_events(events),
      m_wake(std::move(executor))
{
    m_network.setHandler(message_kind::fleet_heartbeat, *this);
}

asio::awaitable<void> heartbeat_exchange::run()
{
    while (!m_stopped) {
        beat();
        co_await m_wake.wait(millis_clock::now() + beat_interval);
    }
}

void heartbeat_exchange::stop()
{
    m_stopped = true;
    m_wake.notify();
}

void heartbeat_exchange::setLeaving()
{
    m_leaving = true;
    m_wake.notify();
}

bool heartbeat_exchange::onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message)
{
    const auto *heartbeat = verifiedRoot<wire::fleet_heartbeat>(message.payload);
    if (!heartbeat)
        return false;
    m_liveness.onHeartbeat(channel->peerName(), heartbeat->leaving(), heartbeat->store_lost(),
                           millis_clock::now());
    return true;
}

void heartbeat_exchange::beat()
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(
        wire::Createfleet_heartbeat(builder, m_incarnation, m_leaving, m_liveness.isStoreLost()));
    for (const std::string &peer : m_network.connectedPeers()) {
        if (const auto channel = m_network.channelTo(peer)) {
            channel->send(message_kind::fleet_heartbeat, bytesOf(builder));
            m_events.add("fleet_heartbeats_sent");
        }
    }
}

} // namespace gooseberrymoor
