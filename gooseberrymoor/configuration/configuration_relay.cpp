#include "gooseberrymoor/configuration/configuration_relay.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/configuration_intake.h"
#include "gooseberrymoor/configuration/configuration_message.h"
#include "gooseberrymoor/configuration/configuration_spread.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"

namespace gooseberrymoor {

configuration_relay::configuration_relay(asio::any_io_executor executor,
                                         configuration_intake &intake, configuration_spread &spread,
                                         peer_network &network, duration interval, counters &events)
    : m_intake(intake), m_spread(spread), m_network(network), m_interval(interval),
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
    const std::int64_t inForce = m_intake.document().revision;
    if (!update->entries.empty()) {
        m_events.add("configuration_updates");
        m_spread.onUpdate(channel->peerName(), now);
        m_intake.offer({ update->revision, update->entries });
        return true;
    }
    const peer_step step = update->asks
        ? m_spread.onAsk(channel->peerName(), update->revision, now)
        : m_spread.onAnnouncement(channel->peerName(), update->revision, update->reachesStore, now);
    switch (step) {
    case peer_step::nothing:
        break;
    case peer_step::announce:
        send(*channel, { inForce, false, m_spread.reachesStore(), {} });
        break;
    case peer_step::ask:
        m_events.add("configuration_questions");
        send(*channel, { inForce, true, m_spread.reachesStore(), {} });
        break;
    case peer_step::answer:
        m_events.add("configuration_answers");
        send(*channel, { inForce, false, m_spread.reachesStore(), m_intake.document().entries });
        break;
    }
    return true;
}

void configuration_relay::onConfigurationInForce()
{
    announceToAll();
}

void configuration_relay::announceToAll()
{
    const configuration_message announcement {
        m_intake.document().revision, false, m_spread.reachesStore(), {}
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
