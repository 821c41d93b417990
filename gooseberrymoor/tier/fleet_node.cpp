#include "gooseberrymoor/tier/fleet_node.h"

#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/http/http_server.h"
#include "gooseberrymoor/tier/catalog_decoder.h"
#include "gooseberrymoor/tier/zone_coverage.h"

namespace gooseberrymoor {

namespace {

constexpr duration change_check_interval { 100 };
constexpr duration serving_nodes_interval { 300 }; // between looks at who is sent callers
constexpr duration reconcile_interval { 500 }; // of connections, while the targets stay the same
constexpr duration drain_check_interval { 10 };
constexpr duration announcer_stop_timeout { 200 };
constexpr duration announcement_interval { 8 }; // between two nodes, after the start of an era
constexpr const char *fleet_cell = "fleet";
constexpr duration reader_grace_period { 500 };
constexpr follower_timing operator_timing { duration(50), duration(1000), reader_grace_period,
                                            true };
constexpr follower_timing replica_timing { duration(1000), duration(0), reader_grace_period,
                                           false };
constexpr follower_timing fleet_timing { duration(200), duration(3000), reader_grace_period,
                                         false };
constexpr duration operator_reregistration_time { 0 }; // operators' keys have no lease

} // namespace

fleet_node::fleet_node(asio::any_io_executor executor, tier_settings settings,
                       key_value_store &store, const catalog_decoder &decoder,
                       const leaf_protocol &protocol, event_log &log, counters &counters)
    : m_executor(executor), m_settings(std::move(settings)), m_log(log), m_counters(counters),
      m_coldLimiter(m_settings.own.name, m_settings.coldTolerance),
      m_subset(m_replicas, m_settings.own.name, m_settings.own.availabilityZone),
      m_selector(m_replicas, m_subset, m_coldLimiter, m_settings.own.availabilityZone),
      m_repeatBudget(m_settings.repeats), m_loadShedder(m_replicas, std::random_device()()),
      m_pool(executor, { protocol, m_replicas, m_subset, log, counters }, std::random_device()()),
      m_forwarder(executor, { m_pool, m_selector, m_repeatBudget, m_loadShedder, log, counters }),
      m_operatorKeys(decoder, m_replicas, log, [this] { onConfiguration(); }),
      m_replicaKeys(decoder, m_replicas, log, counters),
      m_network(executor, m_settings.own.name, fleet_cell, counters),
      m_liveness(m_settings.own.name, m_settings.own.availabilityZone),
      m_heartbeats(executor, m_network, m_liveness, log, counters),
      m_fleet(m_settings.own, m_liveness, log), m_relayTopology(m_fleet, m_liveness),
      m_relay(m_network, m_relayTopology, counters),
      m_operatorMirror(m_operatorKeys, m_storeAvailability, operator_reregistration_time),
      m_replicaMirror(m_replicaKeys, m_storeAvailability, m_settings.reregistrationTime),
      m_fleetMirror(m_fleet, m_storeAvailability, m_settings.reregistrationTime),
      m_operatorFollower(executor,
                         { store, m_operatorMirror, m_storeAvailability, m_storeEra, m_relay,
                           m_liveness, log, counters },
                         decoder.operatorPrefix(), operator_timing),
      m_replicaFollower(executor,
                        { store, m_replicaMirror, m_storeAvailability, m_storeEra, m_relay,
                          m_liveness, log, counters },
                        decoder.replicaPrefix(), replica_timing),
      m_fleetFollower(executor,
                      { store, m_fleetMirror, m_storeAvailability, m_storeEra, m_relay, m_liveness,
                        log, counters },
                      m_settings.fleetPrefix, fleet_timing),
      m_announcer(executor, store, m_storeEra, m_settings.fleetPrefix, m_settings.own, log,
                  counters),
      m_wake(executor)
{
}

tl::expected<void, std::string> fleet_node::start(http_server &callerServer)
{
    m_callerServer = &callerServer;
    if (auto opened = m_network.start(m_settings.own.peerAddress); !opened)
        return opened;
    onFleetChange();
    startTask(m_executor, m_counters, "operators", m_operatorFollower.run());
    startTask(m_executor, m_counters, "replicas", m_replicaFollower.run());
    startTask(m_executor, m_counters, "fleet", m_fleetFollower.run());
    startTask(m_executor, m_counters, "heartbeats", m_heartbeats.run());
    startTask(m_executor, m_counters, "announcer", m_announcer.run());
    startTask(m_executor, m_counters, "changes", applyChanges());
    m_log.write("node_started",
                { { "callers", toString(m_settings.own.callerAddress) },
                  { "availability_zone", m_settings.own.availabilityZone } });
    return {};
}

asio::awaitable<void> fleet_node::stop()
{
    const stop_schedule schedule(millis_clock::now(), m_settings.stopTime);
    m_stopSchedule = schedule;
    m_forwarder.setEnd(schedule.end());
    m_log.write("node_leaving", { { "running", std::to_string(m_forwarder.running()) } });
    m_fleet.setLeaving();
    m_liveness.setLeaving();
    m_heartbeats.announce();
    m_announcer.setLeaving();
    m_callerServer->startDraining();
    while (millis_clock::now() < schedule.closeTime())
        co_await m_wake.wait(schedule.closeTime());
    m_callerServer->stopAccepting();
    // Waits at least once: a connection that is just being accepted is not counted yet.
    do {
        co_await m_wake.wait(millis_clock::now() + drain_check_interval);
    } while (millis_clock::now() < schedule.end() && m_callerServer->openConnections() > 0);
    m_stopped = true;
    m_operatorFollower.stop();
    m_replicaFollower.stop();
    m_fleetFollower.stop();
    m_heartbeats.stop();
    co_await stopAnnouncer();
    m_network.stop();
    m_pool.closeIdle();
    m_wake.notify();
    m_log.write("node_stopped", { { "running", std::to_string(m_forwarder.running()) } });
}

// The wait is limited because the store may be unavailable. The lease then expires by itself.
asio::awaitable<void> fleet_node::stopAnnouncer()
{
    startTask(m_executor, m_counters, "announcer_stop", m_announcer.stop());
    const time_point limit = millis_clock::now() + announcer_stop_timeout;
    while (!m_announcer.hasStopped() && millis_clock::now() < limit)
        co_await m_wake.wait(millis_clock::now() + drain_check_interval);
}

target_eligibility fleet_node::eligibilityOf(const known_replica &target, time_point now) const
{
    return gooseberrymoor::eligibilityOf(target, { m_replicas, m_subset, m_coldLimiter }, now);
}

bool fleet_node::isReady() const
{
    return routes() && !m_stopSchedule;
}

bool fleet_node::acceptsRequest(duration maxDuration) const
{
    return !m_stopSchedule || m_stopSchedule->acceptsRequest(millis_clock::now(), maxDuration);
}

std::vector<endpoint> fleet_node::callerAddresses(const std::string &zone,
                                                  std::size_t maxCount) const
{
    std::set<std::string> zones { zone };
    if (routes()) {
        std::set<std::string> covered = zonesWithShards(m_replicas, routes()->configuration());
        if (!covered.empty() && !covered.contains(zone))
            zones = std::move(covered);
    }
    return m_fleet.callerAddresses(zones, maxCount, millis_clock::now());
}

asio::awaitable<void> fleet_node::applyChanges()
{
    while (!m_stopped) {
        m_stallDetector.onTick(millis_clock::now());
        m_fleet.onTime(millis_clock::now());
        if (m_fleet.generation() != m_appliedFleetGeneration)
            onFleetChange();
        if (m_storeEra.changes() != m_appliedEraChanges)
            onStoreEraChange();
        if (millis_clock::now() >= m_servingNodesUpdatedAt + serving_nodes_interval)
            updateServingNodes();
        reconcileConnections();
        co_await m_wake.wait(millis_clock::now() + change_check_interval);
    }
}

// Reconciles at once after a change of the targets, and else at a longer interval.
void fleet_node::reconcileConnections()
{
    const time_point now = millis_clock::now();
    if (m_replicas.generation() == m_reconciledGeneration
        && now < m_reconciledAt + reconcile_interval)
        return;
    m_reconciledGeneration = m_replicas.generation();
    m_reconciledAt = now;
    m_pool.reconcile();
}

void fleet_node::onConfiguration()
{
    const routing_configuration &configuration = routes()->configuration();
    m_coldLimiter.configure(configuration);
    m_subset.configure(configuration);
    m_loadShedder.configure(configuration);
    m_callerServer->setLimits(configuration.callerLimits);
}

void fleet_node::onFleetChange()
{
    m_appliedFleetGeneration = m_fleet.generation();
    m_coldLimiter.setNodes(m_fleet.names());
    m_repeatBudget.setNodes(m_fleet.size());
    m_network.setPeers(m_fleet.peerAddresses());
    m_liveness.setNodes(m_fleet.peerZones(), millis_clock::now());
    updateServingNodes();
}

// Publishes this node's key again and wakes the followers. Larger fleets take longer, since the
// store bounds the rate of writes.
void fleet_node::onStoreEraChange()
{
    m_appliedEraChanges = m_storeEra.changes();
    m_counters.add("store_era_changes");
    m_log.write("store_era_changed",
                { { "era", std::to_string(static_cast<std::uint64_t>(m_storeEra.current())) } });
    const auto spread = announcement_interval * static_cast<duration::rep>(m_fleet.size());
    std::uniform_int_distribution<duration::rep> delay(0, spread.count());
    m_announcer.onEraChange(duration(delay(m_random)));
    for (mirror_follower *each : { &m_operatorFollower, &m_replicaFollower, &m_fleetFollower })
        each->onEraChange();
}

// Only nodes that callers are sent to share the targets' connections. A stopping node keeps its
// share, since callers still use it.
void fleet_node::updateServingNodes()
{
    const time_point now = millis_clock::now();
    m_servingNodesUpdatedAt = now;
    if (m_stopSchedule)
        return;
    std::set<std::string> serving = m_fleet.servingNodes(now);
    if (serving == m_servingNodes)
        return;
    m_servingNodes = std::move(serving);
    m_subset.setNodes(m_servingNodes.size(), m_servingNodes.contains(m_settings.own.name));
}

} // namespace gooseberrymoor
