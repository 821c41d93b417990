#include "gooseberrymoor/tier/query_tier.h"

#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/http/http_server.h"
#include "gooseberrymoor/tier/catalog_decoder.h"
#include "gooseberrymoor/tier/zone_coverage.h"

#include <random>

namespace gooseberrymoor {

namespace {

constexpr duration change_check { 100 };
constexpr duration drain_check { 10 };
constexpr duration longest_farewell { 200 }; // for the end of this node's lease
constexpr const char *fleet_cell = "fleet";
constexpr duration reader_patience { 500 };
constexpr follower_timing operator_timing { duration(50), duration(1000), reader_patience, true };
constexpr follower_timing replica_timing { duration(700), duration(0), reader_patience, false };
constexpr follower_timing fleet_timing { duration(200), duration(1000), reader_patience, false };
constexpr duration operator_return { 0 }; // operators' keys do not lapse

} // namespace

query_tier::query_tier(asio::any_io_executor executor, tier_settings settings,
                       key_value_store &store, const catalog_decoder &reader,
                       const leaf_protocol &protocol, event_log &log, counters &events)
    : m_executor(executor), m_settings(std::move(settings)), m_log(log), m_events(events),
      m_cold(m_settings.own.name, m_settings.coldTolerance),
      m_subset(m_replicas, m_settings.own.name, m_settings.own.availabilityZone),
      m_selector(m_replicas, m_subset, m_cold, m_settings.own.availabilityZone),
      m_budget(m_settings.repeats), m_gate(m_replicas, std::random_device()()),
      m_pool(executor, protocol, m_subset, events),
      m_forwarder(executor, { m_pool, m_selector, m_budget, m_gate, log, events }),
      m_operators(reader, m_replicas, log, [this] { onConfiguration(); }),
      m_replicaIntake(reader, m_replicas, log, events),
      m_network(executor, m_settings.own.name, fleet_cell, events),
      m_liveness(m_settings.own.name, m_settings.own.availabilityZone),
      m_heartbeats(executor, m_network, m_liveness, log, events),
      m_fleet(m_settings.own, m_liveness, log), m_zoneRelay(m_fleet, m_liveness),
      m_relay(m_network, m_zoneRelay, events), m_operatorMirror(m_operators, operator_return),
      m_replicaMirror(m_replicaIntake, m_settings.reregistrationTime),
      m_fleetMirror(m_fleet, m_settings.reregistrationTime),
      m_operatorFollower(executor, { store, m_operatorMirror, m_relay, m_liveness, log, events },
                         reader.operatorPrefix(), operator_timing),
      m_replicaFollower(executor, { store, m_replicaMirror, m_relay, m_liveness, log, events },
                        reader.replicaPrefix(), replica_timing),
      m_fleetFollower(executor, { store, m_fleetMirror, m_relay, m_liveness, log, events },
                      m_settings.fleetPrefix, fleet_timing),
      m_announcer(executor, store, m_settings.fleetPrefix, m_settings.own, log, events),
      m_wake(executor)
{
}

tl::expected<void, std::string> query_tier::start(http_server &callers)
{
    m_callers = &callers;
    if (auto opened = m_network.start(m_settings.own.peerAddress); !opened)
        return opened;
    onFleetChange();
    startTask(m_executor, m_events, "operators", m_operatorFollower.run());
    startTask(m_executor, m_events, "replicas", m_replicaFollower.run());
    startTask(m_executor, m_events, "fleet", m_fleetFollower.run());
    startTask(m_executor, m_events, "heartbeats", m_heartbeats.run());
    startTask(m_executor, m_events, "announcer", m_announcer.run());
    startTask(m_executor, m_events, "changes", applyChanges());
    m_log.write("node_started",
                { { "callers", toString(m_settings.own.callerAddress) },
                  { "availability_zone", m_settings.own.availabilityZone } });
    return {};
}

asio::awaitable<void> query_tier::stop()
{
    const stop_schedule schedule(millis_clock::now(), m_settings.stopTime);
    m_stop = schedule;
    m_log.write("node_leaving", { { "running", std::to_string(m_forwarder.running()) } });
    m_fleet.setLeaving();
    m_liveness.setLeaving();
    m_heartbeats.announce();
    m_announcer.setLeaving();
    m_callers->startDraining();
    while (millis_clock::now() < schedule.closeTime())
        co_await m_wake.wait(schedule.closeTime());
    m_callers->stopAccepting();
    while (millis_clock::now() < schedule.end() && m_callers->openConnections() > 0)
        co_await m_wake.wait(millis_clock::now() + drain_check);
    m_stopped = true;
    m_operatorFollower.stop();
    m_replicaFollower.stop();
    m_fleetFollower.stop();
    m_heartbeats.stop();
    co_await endAnnouncement();
    m_network.stop();
    m_pool.closeIdle();
    m_wake.notify();
    m_log.write("node_stopped", { { "running", std::to_string(m_forwarder.running()) } });
}

// The store may be away: the lease lapses by itself then.
asio::awaitable<void> query_tier::endAnnouncement()
{
    startTask(m_executor, m_events, "announcer_stop", m_announcer.stop());
    const time_point limit = millis_clock::now() + longest_farewell;
    while (!m_announcer.hasStopped() && millis_clock::now() < limit)
        co_await m_wake.wait(millis_clock::now() + drain_check);
}

target_eligibility query_tier::eligibilityOf(const known_replica &target, time_point now) const
{
    return gooseberrymoor::eligibilityOf(target, { m_replicas, m_subset, m_cold }, now);
}

bool query_tier::isReady() const
{
    return routes() && !m_stop;
}

bool query_tier::acceptsRequest(duration longest) const
{
    return !m_stop || m_stop->acceptsRequest(millis_clock::now(), longest);
}

std::vector<endpoint> query_tier::callerAddresses(const std::string &zone, std::size_t most) const
{
    std::set<std::string> zones { zone };
    if (routes()) {
        std::set<std::string> covered = zonesWithShards(m_replicas, routes()->configuration());
        if (!covered.empty() && !covered.contains(zone))
            zones = std::move(covered);
    }
    return m_fleet.callerAddresses(zones, most, millis_clock::now());
}

asio::awaitable<void> query_tier::applyChanges()
{
    while (!m_stopped) {
        m_fleet.onTime(millis_clock::now());
        if (m_fleet.generation() != m_fleetGeneration)
            onFleetChange();
        m_pool.reconcile(m_replicas);
        co_await m_wake.wait(millis_clock::now() + change_check);
    }
}

void query_tier::onConfiguration()
{
    const routing_configuration &configuration = routes()->configuration();
    m_cold.configure(configuration);
    m_subset.configure(configuration);
    m_gate.configure(configuration);
    m_callers->setLimits(configuration.callerLimits);
}

void query_tier::onFleetChange()
{
    m_fleetGeneration = m_fleet.generation();
    m_cold.setNodes(m_fleet.names());
    m_budget.setNodes(m_fleet.size());
    m_network.setPeers(m_fleet.peerAddresses());
    m_liveness.setNodes(m_fleet.peerZones(), millis_clock::now());
    m_subset.setNodes(m_fleet.size());
}

} // namespace gooseberrymoor
