#include "gooseberrymoor/rollout/evidence_exchange.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/rollout/evidence_codec.h"
#include "gooseberrymoor/rollout/leaf_observation.h"
#include "gooseberrymoor/rollout/move_driver_choice.h"

#include <set>

namespace gooseberrymoor {

namespace {

// The services with more than one version in `window`. Only these can be compared.
std::set<std::string> comparableServices(const evidence_window &window)
{
    std::map<std::string, std::set<std::string>> versions;
    for (const auto &[key, counts] : window.rows)
        versions[key.service].insert(key.version);
    std::set<std::string> services;
    for (const auto &[service, names] : versions) {
        if (names.size() > 1)
            services.insert(service);
    }
    return services;
}

} // namespace

evidence_exchange::evidence_exchange(asio::any_io_executor executor, std::string ownName,
                                     peer_network &network, view_source view, wall_clock wallNow,
                                     counters &events)
    : m_ownName(std::move(ownName)), m_network(network), m_view(std::move(view)),
      m_wallNow(std::move(wallNow)), m_events(events), m_wake(std::move(executor))
{
}

void evidence_exchange::onLeafEnded(const leaf_observation &observation)
{
    m_evidence.record(m_ownName, observation, m_wallNow());
}

bool evidence_exchange::onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message)
{
    auto window = decodeEvidence(message.payload);
    if (!window)
        return false;
    m_events.add("evidence_windows_received");
    m_evidence.put(channel->peerName(), std::move(*window), m_wallNow());
    return true;
}

void evidence_exchange::onChannelClosed(const std::shared_ptr<peer_channel> &) { }

asio::awaitable<void> evidence_exchange::run()
{
    while (!m_stopped) {
        m_evidence.expire(m_wallNow());
        sendClosedWindows();
        co_await m_wake.wait(millis_clock::now() + evidence_window_length);
    }
}

void evidence_exchange::stop()
{
    m_stopped = true;
    m_wake.notify();
}

// A new view may have new drivers, so all retained windows are sent again. Duplicates are harmless:
// a window replaces its earlier copy.
void evidence_exchange::sendClosedWindows()
{
    const std::int64_t epoch = m_view().epoch;
    if (epoch != m_viewEpoch) {
        m_viewEpoch = epoch;
        m_nextIndex = 0;
    }
    for (const evidence_window &window :
         m_evidence.closedWindows(m_ownName, m_nextIndex, m_wallNow())) {
        if (!sendWindow(window))
            return;
        m_nextIndex = window.index + 1;
    }
}

// Sends each driver the rows of its services. Returns whether all were queued.
bool evidence_exchange::sendWindow(const evidence_window &window)
{
    const std::set<std::string> services = comparableServices(window);
    std::map<std::string, evidence_window> parts;
    for (const auto &[key, counts] : window.rows) {
        const std::string driver = driverOf(m_view(), key.service);
        if (!services.contains(key.service) || driver.empty() || driver == m_ownName)
            continue;
        parts[driver].index = window.index;
        parts[driver].rows[key] = counts;
    }
    bool allQueued = true;
    for (const auto &[driver, part] : parts) {
        const auto channel = m_network.channelTo(driver);
        if (channel && sendEvidence(*channel, part) > 0)
            m_events.add("evidence_windows_sent");
        else
            allQueued = false;
    }
    return allQueued;
}

} // namespace gooseberrymoor
