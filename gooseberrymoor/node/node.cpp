#include "gooseberrymoor/node/node.h"

#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/base/transit.h"
#include "gooseberrymoor/entry/entry_directory.h"
#include "gooseberrymoor/query/leaf_candidate_table.h"

#include <random>

namespace gooseberrymoor {

namespace {

constexpr duration configuration_check_interval { 50 };
constexpr duration idle_check_interval { 10 };
// Limits each of the two changes of the view during a stop. Also added to the maximum timeout of a
// query for the wait until the node is idle.
constexpr duration leave_timeout { 3000 };

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

// A target counts a request's timeout from its arrival, so the transit time is added to it.
ownership_timing makeOwnershipTiming(const node_settings &settings)
{
    return { settings.heartbeat, settings.lease, settings.maxTimeout + max_transit_time };
}

std::uint64_t randomNumber()
{
    std::random_device source;
    return std::uniform_int_distribution<std::uint64_t>()(source);
}

sync_timing makeSyncTiming(const node_settings &settings)
{
    sync_timing timing;
    timing.readers = settings.storeReaderCount;
    timing.poll = settings.storePollInterval;
    timing.slowPoll = settings.storeSlowPollInterval;
    timing.watch = settings.storeWatchTimeout;
    timing.call = settings.storeTimeout;
    timing.announce = settings.announce;
    timing.isolation = settings.isolation;
    return timing;
}

member makeMember(const node_settings &settings)
{
    return { settings.name,        randomNumber(),        settings.availabilityZone,
             settings.peerAddress, settings.entryAddress, false };
}

rollout_settings makeRolloutSettings(const node_settings &settings)
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
      m_syncPolicy(m_settings.name, makeSyncTiming(m_settings),
                   static_cast<std::uint32_t>(randomNumber()), millis_clock::now()),
      m_updater(configuration_keys(m_settings.cell), m_configurations, m_syncPolicy, m_events),
      m_follower(executor, m_store, configuration_keys(m_settings.cell), m_updater, m_syncPolicy,
                 m_events),
      m_network(executor, m_settings.name, m_settings.cell, m_events),
      m_relay(executor, m_updater, m_syncPolicy, m_network, m_settings.announce, m_events),
      m_membership(executor, m_store, m_settings.cell, makeMember(m_settings),
                   m_settings.storePollInterval, makeOwnershipTiming(m_settings), m_network,
                   m_events),
      m_evidence(
          executor, m_settings.name, m_network,
          [this]() -> const cell_view & { return m_membership.view(); }, wallNow, m_events),
      m_rollout(
          executor, makeRolloutSettings(m_settings), m_store, m_configurations,
          m_evidence.evidence(), [this]() -> const cell_view & { return m_membership.view(); },
          wallNow, m_log, m_events),
      m_owner(executor, m_membership.owners(), m_settings.maxTimeout, m_events),
      m_leafServer(m_owner), m_leafClient(m_settings.name, m_network, m_owner, m_events),
      m_selector(m_settings.availabilityZone, randomNumber()), m_hedging(m_settings.hedgePercent),
      m_extraBudget(m_settings.hedgePercent), m_random(randomNumber()),
      m_runner(m_leafClient,
               { m_selector, m_hedging, m_extraBudget, m_snapshots, m_random, &m_evidence }),
      m_admission(m_settings.maxQueries),
      m_report({ m_settings, m_events, m_configurations, m_updater, m_syncPolicy, m_membership,
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
    m_updater.addListener(m_relay);
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
    connectToSeedPeers();
    startTask(m_executor, m_events, "configuration", m_follower.run());
    startTask(m_executor, m_events, "relay", m_relay.run());
    startTask(m_executor, m_events, "membership", m_membership.run());
    startTask(m_executor, m_events, "changes", watchConfiguration());
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
    const bool recorded = co_await m_membership.markLeaving(began + leave_timeout);
    if (!recorded)
        m_log.write("leave_not_recorded", { { "reason", "the store did not respond" } });
    const time_point lingerUntil = began + m_settings.linger;
    while (millis_clock::now() < lingerUntil)
        co_await m_wake.wait(lingerUntil);
    m_admission.setPhase(entry_phase::closed);
    m_server.stopAccepting();
    co_await waitUntilIdle(millis_clock::now() + m_settings.maxTimeout + leave_timeout);
    // A node may leave the membership by itself only if none of its requests can still be running;
    // otherwise the other members remove it.
    if (m_owner.isIdle())
        co_await m_membership.leave(millis_clock::now() + leave_timeout);
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

asio::awaitable<void> node::watchConfiguration()
{
    while (!m_stopped) {
        const auto current = m_configurations.current();
        if (current->revision > m_appliedRevision) {
            m_appliedRevision = current->revision;
            m_log.write("configuration_in_force",
                        { { "revision", std::to_string(current->revision) } });
            applyChanges();
        }
        logConfigurationError();
        updatePhase();
        co_await m_wake.wait(millis_clock::now() + configuration_check_interval);
    }
}

void node::applyChanges()
{
    const auto current = m_configurations.current();
    m_membership.configure(targetsOf(*current), current->zonesOut);
    m_owner.update(*current);
    m_runner.setRoutes(std::make_shared<leaf_candidate_table>(current, m_membership.view()));
    updatePhase();
}

// Seed peers are used until a view is known; the members of the view then replace them.
void node::connectToSeedPeers()
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
    const bool isolated = m_syncPolicy.isIsolated(millis_clock::now());
    if (phase == entry_phase::starting && m_syncPolicy.isCurrent()
        && m_membership.isActiveMember()) {
        m_admission.setPhase(entry_phase::ready);
    } else if (phase == entry_phase::ready && isolated) {
        m_admission.setPhase(entry_phase::isolated);
        m_log.write("node_isolated", { { "reason", "neither the store nor any peer responds" } });
    } else if (phase == entry_phase::isolated && !isolated) {
        m_admission.setPhase(entry_phase::starting); // until the configuration is current again
        m_log.write("node_heard_again", {});
    }
}

void node::logConfigurationError()
{
    if (m_updater.fault() == m_loggedConfigurationError)
        return;
    m_loggedConfigurationError = m_updater.fault();
    if (m_loggedConfigurationError.empty())
        m_log.write("configuration_mended", {});
    else
        m_log.write("configuration_refused", { { "reason", m_loggedConfigurationError } });
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
        co_await m_wake.wait(millis_clock::now() + idle_check_interval);
    }
}

} // namespace gooseberrymoor
