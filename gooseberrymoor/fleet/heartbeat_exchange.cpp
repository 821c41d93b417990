#include "gooseberrymoor/fleet/heartbeat_exchange.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/fleet/heartbeat_codec.h"
#include "gooseberrymoor/fleet/peer_liveness.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"

#include <algorithm>
#include <iterator>

namespace gooseberrymoor {

namespace {

constexpr duration heartbeat_interval { 300 };
constexpr duration liveness_check_interval { 100 };
constexpr duration silence_report_interval { 1000 }; // while watched nodes stay silent

} // namespace

heartbeat_exchange::heartbeat_exchange(asio::any_io_executor executor, peer_network &network,
                                       peer_liveness &liveness, event_log &log, counters &events)
    : m_network(network), m_liveness(liveness), m_log(log), m_events(events),
      m_wake(std::move(executor))
{
    m_network.setHandler(message_kind::fleet_heartbeat, *this);
}

asio::awaitable<void> heartbeat_exchange::run()
{
    while (!m_stopped) {
        onTime(millis_clock::now());
        co_await m_wake.wait(millis_clock::now() + liveness_check_interval);
    }
}

void heartbeat_exchange::stop()
{
    m_stopped = true;
    m_wake.notify();
}

void heartbeat_exchange::announce()
{
    m_announced = m_liveness.report();
    m_announcedAt = millis_clock::now();
    m_lastHeartbeatAt = m_announcedAt;
    sendTo(m_network.connectedPeers());
}

bool heartbeat_exchange::onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message)
{
    auto report = decodeHeartbeat(message.payload);
    if (!report)
        return false;
    m_liveness.onHeartbeat(channel->peerName(), std::move(*report), millis_clock::now());
    return true;
}

void heartbeat_exchange::onTime(time_point now)
{
    m_liveness.onTime(now);
    sendToNewPeers();
    const peer_report &report = m_liveness.report();
    logSilenceChanges(m_announced.silent, report.silent);
    const bool isRepeatDue
        = !report.silent.empty() && now >= m_announcedAt + silence_report_interval;
    if (report != m_announced || isRepeatDue) {
        announce();
    } else if (now >= m_lastHeartbeatAt + heartbeat_interval) {
        m_lastHeartbeatAt = now;
        const std::set<std::string> recipients = m_liveness.heartbeatRecipients();
        sendTo({ recipients.begin(), recipients.end() });
    }
}

// Either side of a new connection may have just started. A restarted peer has lost this node's
// report; if this node restarted, the peer still has the report of its previous process.
void heartbeat_exchange::sendToNewPeers()
{
    std::vector<std::string> connected = m_network.connectedPeers(); // sorted by name
    std::vector<std::string> added;
    std::set_difference(connected.begin(), connected.end(), m_connected.begin(), m_connected.end(),
                        std::back_inserter(added));
    m_connected = std::move(connected);
    if (!added.empty())
        sendTo(added);
}

void heartbeat_exchange::logSilenceChanges(const std::set<std::string> &before,
                                           const std::set<std::string> &after)
{
    for (const std::string &each : after) {
        if (!before.contains(each))
            m_log.write("member_silent", { { "member", each } });
    }
    for (const std::string &each : before) {
        if (!after.contains(each))
            m_log.write("member_silent_no_more", { { "member", each } });
    }
}

void heartbeat_exchange::sendTo(const std::vector<std::string> &peers)
{
    const std::vector<std::uint8_t> message = encodeHeartbeat(m_liveness.report());
    for (const std::string &peer : peers) {
        if (const auto channel = m_network.channelTo(peer)) {
            channel->send(message_kind::fleet_heartbeat, message);
            m_events.add("fleet_heartbeats_sent");
        }
    }
}

} // namespace gooseberrymoor
