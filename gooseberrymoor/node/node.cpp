#include "gooseberrymoor/node/node.h"

#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/base/transit.h"
#include "gooseberrymoor/entry/entry_directory.h"
#include "gooseberrymoor/query/routing_table.h"

#include <random>

namespace gooseberrymoor {

namespace {

constexpr duration change_check { 50 };
constexpr duration drain_check { 10 };
constexpr duration store_patience { 3000 };

std::set<std::string> targetsOf(const configuration &current)
{
    std::set<std::string> targets;
    for (const auto &[name, service] : current.services) {
        for (const group_config &group : service.groups) {
            for (const target_config &target : group.targets)
                targets.insert(name + "/" + target.name);
        }
    }
    return targets;
}

ownership_timing ownershipTiming(const node_settings &settings)
{
    return { settings.heartbeat, settings.lease, settings.maxTimeout + max_transit_time };
}

std::uint64_t randomNumber()
{
    std::random_device source;
    return std::uniform_int_distribution<std::uint64_t>()(source);
}

spread_timing spreadTiming(const node_settings &settings)
{
    spread_timing timing;
    timing.readers = settings.storeReaderCount;
    timing.poll = settings.storePollInterval;
    timing.slowPoll = settings.storeSlowPollInterval;
    timing.watch = settings.storeWatchTimeout;
    timing.call = settings.storeTimeout;
    timing.announce = settings.announce;
    timing.isolation = settings.isolation;
    return timing;
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

} // namespace

node::node(asio::any_io_executor executor, node_settings settings, event_log &log)
    : m_executor(executor), m_settings(std::move(settings)), m_log(log),
      m_store(m_settings.storeAddresses, m_settings.storeTimeout, m_events),
      m_spread(m_settings.name, spreadTiming(m_settings),
               static_cast<std::uint32_t>(randomNumber()), millis_clock::now()),
      m_intake(configuration_keys(m_settings.cell), m_configurations, m_spread, m_events),
      m_follower(executor, m_store, configuration_keys(m_settings.cell), m_intake, m_spread,
                 m_events),
      m_network(executor, m_settings.name, m_settings.cell, m_events),
      m_relay(executor, m_intake, m_spread, m_network, m_settings.announce, m_events),
      m_membership(executor, m_store, m_settings.cell, memberFrom(m_settings),
                   m_settings.storePollInterval, ownershipTiming(m_settings), m_network, m_events),
      m_evidence(
          executor, m_settings.name, m_network,
          [this]() -> const cell_view & { return m_membership.view(); }, wallNow, m_events),
      m_rollout(
          executor, rolloutSettingsFrom(m_settings), m_store, m_configurations,
          m_evidence.evidence(), [this]() -> const cell_view & { return m_membership.view(); },
          wallNow, m_log, m_events),
      m_owner(executor, m_membership.owners(), m_settings.maxTimeout, m_events),
      m_leafServer(m_owner), m_leafClient(m_settings.name, m_network, m_owner, m_events),
      m_selector(m_settings.availabilityZone, randomNumber()), m_hedging(m_settings.hedgePercent),
      m_extraBudget(m_settings.hedgePercent), m_random(randomNumber()),
      m_runner(m_leafClient,
               { m_selector, m_hedging, m_extraBudget, m_snapshots, m_random, &m_evidence }),
      m_admission(m_settings.maxQueries),
      m_report({ m_settings, m_events, m_configurations, m_intake, m_spread, m_membership,
                 m_network, m_owner, m_runner, m_leafClient, m_admission, m_rollout }),
      m_handler(
          m_runner, m_admission, [this] { return directoryEntries(); }, m_settings.directoryTtl,
          timeout_limits { m_settings.defaultTimeout, m_settings.maxTimeout }, m_report, m_events),
      m_server(executor, m_handler, m_events, m_settings.maxBodyBytes), m_wake(executor)
{
    m_report.setHandler(m_handler);
    m_network.setHandler(message_kind::leaf_request, m_leafServer);
    m_network.setHandler(message_kind::leaf_cancel, m_leafServer);
    m_network.setHandler(message_kind::leaf_response, m_leafClient);
    m_network.setHandler(message_kind::configuration_update, m_relay);
    m_intake.addListener(m_relay);
    m_network.setHandler(message_kind::version_evidence, m_evidence);
    m_membership.addListener(*this);
    m_membership.setRequestTracker(m_owner);
}

tl::expected<void, std::string> node::start()
{
    if (auto opened = m_network.start(m_settings.peerAddress); !opened)
        return opened;
    if (auto opened = m_server.start(m_settings.entryAddress); !opened)
        return opened;
    dialSeedPeers();
    startTask(m_executor, m_events, "configuration", m_follower.run());
    startTask(m_executor, m_events, "relay", m_relay.run());
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
    m_server.startDraining();
    const time_point began = millis_clock::now();
    const bool told = co_await m_membership.markLeaving(began + store_patience);
    if (!told)
        m_log.write("leave_not_recorded", { { "reason", "store did not answer" } });
    const time_point lingerUntil = began + m_settings.linger;
    while (millis_clock::now() < lingerUntil)
        co_await m_wake.wait(lingerUntil);
    m_admission.setPhase(entry_phase::closed);
    m_server.stopAccepting();
    co_await waitUntilIdle(millis_clock::now() + m_settings.maxTimeout + store_patience);
    // Whoever leaves by itself says that nothing of it runs; else the others remove it.
    if (m_owner.isIdle())
        co_await m_membership.leave(millis_clock::now() + store_patience);
    m_stopped = true;
    m_owner.stop();
    m_evidence.stop();
    m_follower.stop();
    m_relay.stop();
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
        logConfigurationFault();
        updatePhase();
        co_await m_wake.wait(millis_clock::now() + change_check);
    }
}

void node::applyChanges()
{
    const auto current = m_configurations.current();
    m_membership.configure(targetsOf(*current), current->zonesOut);
    m_owner.update(*current);
    m_runner.setRoutes(std::make_shared<routing_table>(current, m_membership.view()));
    updatePhase();
}

// Until a view is known: the view's peers take the place of these.
void node::dialSeedPeers()
{
    std::map<std::string, endpoint> seeds;
    for (const endpoint &address : m_settings.seedPeers) {
        if (address != m_settings.peerAddress)
            seeds["seed " + toString(address)] = address;
    }
    m_network.setPeers(std::move(seeds));
}

void node::updatePhase()
{
    const entry_phase phase = m_admission.phase();
    const bool isolated = m_spread.isIsolated(millis_clock::now());
    if (phase == entry_phase::starting && m_spread.isCurrent() && m_membership.isActiveMember()) {
        m_admission.setPhase(entry_phase::ready);
    } else if (phase == entry_phase::ready && isolated) {
        m_admission.setPhase(entry_phase::isolated);
        m_log.write("node_isolated", { { "reason", "neither store nor peers were heard" } });
    } else if (phase == entry_phase::isolated && !isolated) {
        m_admission.setPhase(entry_phase::starting); // until it is as new as its peers again
        m_log.write("node_heard_again", {});
    }
}

void node::logConfigurationFault()
{
    if (m_intake.fault() == m_loggedFault)
        return;
    m_loggedFault = m_intake.fault();
    if (m_loggedFault.empty())
        m_log.write("configuration_mended", {});
    else
        m_log.write("configuration_refused", { { "reason", m_loggedFault } });
}

std::vector<endpoint> node::directoryEntries() const
{
    return entryAddresses(m_membership.view(), m_configurations.current()->zonesOut);
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
