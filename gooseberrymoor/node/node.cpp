#include "gooseberrymoor/node/node.h"

#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/entry/entry_directory.h"
#include "gooseberrymoor/query/routing_table.h"

#include <random>

namespace gooseberrymoor {

namespace {

constexpr duration fixed_hedge_delay { 50 };
constexpr duration change_check { 50 };
constexpr duration drain_check { 10 };
constexpr duration store_patience { 3000 };

std::uint64_t randomNumber()
{
    std::random_device source;
    return std::uniform_int_distribution<std::uint64_t>()(source);
}

member memberFrom(const node_settings &settings)
{
    return { settings.name,        randomNumber(),        settings.availabilityZone,
             settings.peerAddress, settings.entryAddress, false };
}

rollout_settings rolloutSettingsFrom(const node_settings &settings)
{
    rollout_settings rollout;
    rollout.ownName = settings.name;
    rollout.cell = settings.cell;
    rollout.seed = randomNumber();
    rollout.timing.longestRequest = settings.maxTimeout;
    return rollout;
}

wall_time wallNow()
{
    return std::chrono::time_point_cast<wall_time::duration>(std::chrono::system_clock::now());
}

} // namespace

node::node(asio::any_io_executor executor, node_settings settings, event_log &log)
    : m_executor(executor), m_settings(std::move(settings)), m_log(log),
      m_store(m_settings.storeAddresses, m_settings.storeTimeout, m_events),
      m_follower(executor, m_store, configuration_keys(m_settings.cell), m_configurations,
                 m_settings.storePoll, m_events),
      m_network(executor, m_settings.name, m_settings.cell, m_events),
      m_membership(executor, m_store, m_settings.cell, memberFrom(m_settings), m_settings.storePoll,
                   m_network, m_events),
      m_evidence(
          executor, m_settings.name, m_network,
          [this]() -> const cell_view & { return m_membership.view(); }, wallNow, m_events),
      m_rollout(
          executor, rolloutSettingsFrom(m_settings), m_store, m_configurations,
          m_evidence.evidence(), [this]() -> const cell_view & { return m_membership.view(); },
          wallNow, m_log, m_events),
      m_owner(
          executor, [this](std::string_view target) { return ownsTarget(target); }, m_events),
      m_leafServer(m_owner), m_gateway(m_settings.name, m_network, m_owner, m_events),
      m_selector(randomNumber()), m_hedging(fixed_hedge_delay, m_settings.hedgePercent),
      m_runner(m_gateway, m_selector, m_hedging), m_admission(m_settings.maxQueries),
      m_report({ m_settings, m_events, m_configurations, m_membership, m_network, m_owner, m_runner,
                 m_gateway, m_admission }),
      m_handler(
          m_runner, m_admission, [this] { return directoryEntries(); }, m_settings.directoryTtl,
          timeout_limits { m_settings.defaultTimeout, m_settings.maxTimeout }, m_report, m_events),
      m_server(executor, m_handler, m_events, m_settings.maxBodyBytes), m_wake(executor)
{
    m_report.setHandler(m_handler);
    m_network.setHandler(message_kind::leaf_request, m_leafServer);
    m_network.setHandler(message_kind::leaf_cancel, m_leafServer);
    m_network.setHandler(message_kind::leaf_response, m_gateway);
    m_network.setHandler(message_kind::version_evidence, m_evidence);
    m_membership.addListener(*this);
}

tl::expected<void, std::string> node::start()
{
    if (auto opened = m_network.start(m_settings.peerAddress); !opened)
        return opened;
    if (auto opened = m_server.start(m_settings.entryAddress); !opened)
        return opened;
    startTask(m_executor, m_events, "configuration", m_follower.run());
    startTask(m_executor, m_events, "membership", m_membership.run());
    startTask(m_executor, m_events, "changes", followConfiguration());
    startTask(m_executor, m_events, "evidence", m_evidence.run());
    startTask(m_executor, m_events, "rollout", m_rollout.run());
    m_log.write("node_started",
                { { "entry", toString(m_settings.entryAddress) },
                  { "peer", toString(m_settings.peerAddress) },
                  { "availability_zone", m_settings.availabilityZone } });
    return {};
}

asio::awaitable<void> node::stop()
{
    m_log.write("node_leaving", {});
    m_rollout.stop();
    m_admission.setPhase(entry_phase::leaving);
    const time_point began = millis_clock::now();
    const bool told = co_await m_membership.markLeaving(began + store_patience);
    if (!told)
        m_log.write("leave_not_recorded", { { "reason", "store did not answer" } });
    m_owner.update(*m_configurations.current());
    co_await m_wake.wait(began + m_settings.linger);
    m_admission.setPhase(entry_phase::closed);
    m_server.stopAccepting();
    co_await waitUntilIdle(millis_clock::now() + m_settings.maxTimeout + store_patience);
    co_await m_membership.leave(millis_clock::now() + store_patience);
    m_stopped = true;
    m_evidence.stop();
    m_follower.stop();
    m_membership.stop();
    m_network.stop();
    m_wake.notify();
    m_log.write("node_stopped", {});
}

void node::onViewChanged(const cell_view &view)
{
    m_log.write("view_changed",
                { { "epoch", std::to_string(view.epoch) },
                  { "members", std::to_string(view.members.size()) } });
    applyChanges();
}

asio::awaitable<void> node::followConfiguration()
{
    while (!m_stopped) {
        const auto current = m_configurations.current();
        if (current->revision > m_appliedRevision) {
            m_appliedRevision = current->revision;
            m_log.write("configuration_in_force",
                        { { "revision", std::to_string(current->revision) } });
            applyChanges();
        }
        co_await m_wake.wait(millis_clock::now() + change_check);
    }
}

void node::applyChanges()
{
    const auto current = m_configurations.current();
    m_owner.update(*current);
    m_runner.setRoutes(std::make_shared<routing_table>(current, m_membership.view()));
    if (m_admission.phase() == entry_phase::starting && current->revision > 0
        && m_membership.isMember())
        m_admission.setPhase(entry_phase::ready);
}

std::vector<endpoint> node::directoryEntries() const
{
    return entriesFor(m_membership.view(), m_configurations.current()->zonesOut);
}

bool node::ownsTarget(std::string_view target) const
{
    const member *owner = ownerOf(m_membership.view(), target);
    return owner && owner->name == m_settings.name;
}

asio::awaitable<void> node::waitUntilIdle(time_point deadline)
{
    while (millis_clock::now() < deadline) {
        if (m_runner.running() == 0 && m_owner.isIdle() && m_server.openConnections() == 0)
            co_return;
        co_await m_wake.wait(millis_clock::now() + drain_check);
    }
}

} // namespace gooseberrymoor
