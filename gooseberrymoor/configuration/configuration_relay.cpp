#include "gooseberrymoor/configuration/configuration_relay.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/configuration_message.h"
#include "gooseberrymoor/configuration/configuration_sync_policy.h"
#include "gooseberrymoor/configuration/configuration_updater.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"

namespace gooseberrymoor {

configuration_relay::configuration_relay(asio::any_io_executor executor,
                                         configuration_updater &updater,
                                         configuration_sync_policy &syncPolicy,
                                         peer_network &network, duration interval, counters &events)
    : m_updater(updater), m_syncPolicy(syncPolicy), m_network(network), m_interval(interval),
      m_events(events), m_wake(std::move(executor))
{
}

asio::awaitable<void> configuration_relay::run()
{
    while (!m_stopped) {
        announceToAll();
        const time_point next = millis_clock::now() + m_interval;
        co_await m_wake.wait(next);
    }
}

void configuration_relay::stop()
{
    m_stopped = true;
    m_wake.notify();
}

bool configuration_relay::onFrame(const std::shared_ptr<peer_channel> &channel,
                                  const frame &message)
{
    const auto update = decodeConfigurationMessage(message.payload);
    if (!update)
        return false;
    const time_point now = millis_clock::now();
    const std::int64_t activeRevision = m_updater.document().revision;
    if (!update->entries.empty()) {
        m_events.add("configuration_updates");
        m_syncPolicy.onUpdate(channel->peerName(), now);
        m_updater.offer({ update->revision, update->entries });
        return true;
    }
    const peer_reply reply = update->asks
        ? m_syncPolicy.onUpdateRequest(channel->peerName(), update->revision, now)
        : m_syncPolicy.onAnnouncement(channel->peerName(), update->revision, update->reachesStore,
                                      now);
    switch (reply) {
    case peer_reply::nothing:
        break;
    case peer_reply::announce:
        send(*channel, { activeRevision, false, m_syncPolicy.reachesStore(), {} });
        break;
    case peer_reply::ask:
        m_events.add("configuration_questions");
        send(*channel, { activeRevision, true, m_syncPolicy.reachesStore(), {} });
        break;
    case peer_reply::answer:
        m_events.add("configuration_answers");
        send(*channel,
             { activeRevision, false, m_syncPolicy.reachesStore(), m_updater.document().entries });
        break;
    }
    return true;
}

void configuration_relay::onConfigurationActivated()
{
    announceToAll();
}

void configuration_relay::announceToAll()
{
    const configuration_message announcement {
        m_updater.document().revision, false, m_syncPolicy.reachesStore(), {}
    };
    for (const std::string &peer : m_network.connectedPeers()) {
        if (const auto channel = m_network.channelTo(peer))
            send(*channel, announcement);
    }
}

void configuration_relay::send(peer_channel &channel, const configuration_message &message)
{
    channel.send(message_kind::configuration_update, encodeConfigurationMessage(message));
}

} // namespace gooseberrymoor
