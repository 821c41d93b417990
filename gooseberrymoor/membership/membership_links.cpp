#include "gooseberrymoor/membership/membership_links.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/membership/membership_codec.h"
#include "gooseberrymoor/membership/ownership.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"

namespace gooseberrymoor {

membership_links::membership_links(asio::any_io_executor executor, peer_network &network,
                                   ownership &decision, duration heartbeat, duration silence,
                                   counters &events, follow_up followUp)
    : m_executor(executor), m_network(network), m_ownership(decision), m_heartbeat(heartbeat),
      m_silenceTimeout(silence), m_events(events), m_followUp(std::move(followUp)), m_wake(executor)
{
    for (const auto &[kind, name] : names(membership_message_kind {}))
        m_network.setHandler(frameKindOf(kind), *this);
}

void membership_links::setPeers(const std::set<std::string> &peers)
{
    m_peers = peers;
    for (const std::string &peer : peers) {
        if (m_peersWithTask.insert(peer).second)
            startTask(m_executor, m_events, "membership_peer", peerTask(peer));
    }
}

void membership_links::send(const ownership_actions &actions)
{
    for (const auto &each : actions.messages) {
        if (const auto channel = m_network.channelTo(each.to))
            sendOn(*channel, each.message);
    }
}

void membership_links::stop()
{
    m_stopped = true;
    m_accepted.clear();
    m_wake.notify();
}

bool membership_links::onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message)
{
    const auto decoded = decodeMembershipMessage(channel->peerName(), message);
    if (!decoded)
        return false;
    m_events.add("membership_messages_received");
    m_events.add("membership_bytes_received", frame_header_bytes + message.payload.size());
    if (m_network.channelTo(channel->peerName()) != channel)
        m_accepted.insert(channel);
    if (!m_monitoring) {
        m_monitoring = true;
        startTask(m_executor, m_events, "membership_accepted", monitorAcceptedLinks());
    }
    const ownership_actions actions = m_ownership.onMessage(*decoded, millis_clock::now());
    for (const auto &each : actions.messages) {
        // An answer goes back on the link on which the request came.
        const bool isAnswer = each.to == channel->peerName() && each.message.recipient != 0;
        const auto link = isAnswer ? channel : m_network.channelTo(each.to);
        if (link)
            sendOn(*link, each.message);
        else if (each.to == channel->peerName())
            sendOn(*channel, each.message);
    }
    m_followUp(actions);
    return true;
}

void membership_links::onChannelClosed(const std::shared_ptr<peer_channel> &channel)
{
    m_accepted.erase(channel);
}

asio::awaitable<void> membership_links::peerTask(std::string peer)
{
    time_point next = millis_clock::now();
    while (!m_stopped && m_peers.contains(peer)) {
        const auto channel = m_network.channelTo(peer);
        if (channel && wasOnTime(next))
            closeIfSilent(channel);
        send(m_ownership.heartbeatRequestsTo(peer, millis_clock::now()));
        next = millis_clock::now() + m_heartbeat;
        while (!m_stopped && millis_clock::now() < next)
            co_await m_wake.wait(next);
    }
    m_peersWithTask.erase(peer);
}

// Links that peers dialled carry a request each heartbeat; one without any has lost its other end.
asio::awaitable<void> membership_links::monitorAcceptedLinks()
{
    time_point next = millis_clock::now();
    while (!m_stopped) {
        const auto links = wasOnTime(next) ? m_accepted : decltype(m_accepted) {};
        for (const auto &channel : links)
            closeIfSilent(channel);
        next = millis_clock::now() + m_heartbeat;
        while (!m_stopped && millis_clock::now() < next)
            co_await m_wake.wait(next);
    }
}

// After a stop of this process, what came in meanwhile has still to be read.
bool membership_links::wasOnTime(time_point due) const
{
    return millis_clock::now() - due <= m_heartbeat;
}

void membership_links::closeIfSilent(const std::shared_ptr<peer_channel> &channel)
{
    if (!channel->isOpen() || millis_clock::now() - channel->lastReceived() <= m_silenceTimeout)
        return;
    m_events.add("peer_links_silent");
    channel->close();
}

void membership_links::sendOn(peer_channel &channel, const membership_message &message)
{
    const auto payload = encodeMembershipMessage(message);
    if (channel.send(frameKindOf(message.kind), payload) == 0)
        return;
    m_events.add("membership_messages_sent");
    m_events.add("membership_bytes_sent", frame_header_bytes + payload.size());
}

} // namespace gooseberrymoor
