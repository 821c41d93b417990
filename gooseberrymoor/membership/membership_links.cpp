#include "gooseberrymoor/membership/membership_links.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/membership/membership_codec.h"
#include "gooseberrymoor/membership/ownership.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"

namespace gooseberrymoor {

membership_links::membership_links(asio::any_io_executor executor, peer_network &network,
                                   ownership &state, duration heartbeat, duration silenceTimeout,
                                   counters &events, action_handler actionHandler)
    : m_executor(executor), m_network(network), m_ownership(state), m_heartbeat(heartbeat),
      m_silenceTimeout(silenceTimeout), m_events(events), m_actionHandler(std::move(actionHandler)),
      m_wake(executor)
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
    m_acceptedLinks.clear();
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
        m_acceptedLinks.insert(channel);
    if (!m_monitoring) {
        m_monitoring = true;
        startTask(m_executor, m_events, "membership_accepted", monitorAcceptedLinks());
    }
    const ownership_actions actions = m_ownership.onMessage(*decoded, millis_clock::now());
    for (const auto &each : actions.messages) {
        // Replies are sent on the link on which the request arrived.
        const bool isReply = each.to == channel->peerName() && each.message.recipient != 0;
        const auto link = isReply ? channel : m_network.channelTo(each.to);
        if (link)
            sendOn(*link, each.message);
        else if (each.to == channel->peerName())
            sendOn(*channel, each.message);
    }
    m_actionHandler(actions);
    return true;
}

void membership_links::onChannelClosed(const std::shared_ptr<peer_channel> &channel)
{
    m_acceptedLinks.erase(channel);
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

// A link accepted from a peer carries a request each heartbeat interval. Without any, its other end
// is lost.
asio::awaitable<void> membership_links::monitorAcceptedLinks()
{
    time_point next = millis_clock::now();
    while (!m_stopped) {
        const auto links = wasOnTime(next) ? m_acceptedLinks : decltype(m_acceptedLinks) {};
        for (const auto &channel : links)
            closeIfSilent(channel);
        next = millis_clock::now() + m_heartbeat;
        while (!m_stopped && millis_clock::now() < next)
            co_await m_wake.wait(next);
    }
}

// Returns whether a task that was due at `due` is running on time. If it is not, this process may
// have been suspended, with frames that arrived meanwhile still unread, so that no link may be
// considered silent.
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
