#pragma once

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/fleet/fleet_announcer.h"
#include "gooseberrymoor/fleet/fleet_view.h"
#include "gooseberrymoor/fleet/heartbeat_exchange.h"
#include "gooseberrymoor/fleet/peer_liveness.h"
#include "gooseberrymoor/fleet/zone_relay_topology.h"
#include "gooseberrymoor/forward/forwarder.h"
#include "gooseberrymoor/forward/leaf_pool.h"
#include "gooseberrymoor/forward/load_shedder.h"
#include "gooseberrymoor/forward/repeat_budget.h"
#include "gooseberrymoor/mirror/mirror_follower.h"
#include "gooseberrymoor/mirror/mirror_relay.h"
#include "gooseberrymoor/mirror/store_mirror.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/replica/cold_target_limiter.h"
#include "gooseberrymoor/replica/expected_wait_selector.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"
#include "gooseberrymoor/tier/operator_key_listener.h"
#include "gooseberrymoor/tier/replica_key_listener.h"
#include "gooseberrymoor/tier/stop_schedule.h"
#include "gooseberrymoor/tier/target_eligibility.h"
#include "gooseberrymoor/tier/tier_settings.h"

#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

class catalog_decoder;
class event_log;
class http_server;
class key_value_store;
class leaf_protocol;

// One node of the query tier, without the way that callers, targets and the store are spoken to:
// what it knows from the store, the requests that it forwards, and how it starts and stops.
// Not thread-safe. What is passed by reference must outlive the executor's last task.
class query_tier
{
public:
    query_tier(asio::any_io_executor executor, tier_settings settings, key_value_store &store,
               const catalog_decoder &reader, const leaf_protocol &protocol, event_log &log,
               counters &events);

    // Opens the port for peers and starts the tasks; the error is for people. `callers` gets the
    // limits of each configuration and is stopped with the tier; it must outlive it.
    tl::expected<void, std::string> start(http_server &callers);

    // Leaves without cutting a request: named to callers no more, it serves those that still
    // come until the stop time is nearly over, and finishes what runs.
    asio::awaitable<void> stop();

    // Whether it can serve: it has a configuration and does not leave.
    bool isReady() const;

    // Whether a request that may take as long as `longest` is taken now: a node that stops takes
    // none that it would cut.
    bool acceptsRequest(duration longest) const;

    // The routes in force; null before the first configuration.
    const std::shared_ptr<const route_table> &routes() const { return m_operators.routes(); }

    // Whether the routes are the newest as far as this node can know.
    bool isCurrent() const { return m_operatorFollower.isCurrent(millis_clock::now()); }

    // Where callers of availability zone `zone` may connect, at most `most` addresses: nodes of
    // their zone, or of zones that hold the targets if theirs doesn't.
    std::vector<endpoint> callerAddresses(const std::string &zone, std::size_t most) const;

    forwarder &requests() { return m_forwarder; }
    const forwarder &requests() const { return m_forwarder; }
    const leaf_pool &connections() const { return m_pool; }
    const fleet_view &fleet() const { return m_fleet; }
    const replica_set &replicas() const { return m_replicas; }
    const peer_liveness &liveness() const { return m_liveness; }

    // The store's revision of the routes in force; 0 before the first configuration.
    std::int64_t configurationRevision() const { return m_operators.revision(); }

    // What this node keeps of the store, a follower for each prefix.
    std::array<const mirror_follower *, 3> followers() const
    {
        return { &m_operatorFollower, &m_replicaFollower, &m_fleetFollower };
    }

    // Whether this node sends to `target`, and if not or seldom, why.
    target_eligibility eligibilityOf(const known_replica &target, time_point now) const;

    const tier_settings &settings() const { return m_settings; }

private:
    asio::awaitable<void> applyChanges();
    asio::awaitable<void> endAnnouncement();
    void onConfiguration();
    void onFleetChange();

    asio::any_io_executor m_executor;
    tier_settings m_settings;
    event_log &m_log;
    counters &m_events;
    replica_set m_replicas;
    cold_target_limiter m_cold;
    replica_subset m_subset;
    expected_wait_selector m_selector;
    repeat_budget m_budget;
    load_shedder m_gate;
    leaf_pool m_pool;
    forwarder m_forwarder;
    operator_key_listener m_operators;
    replica_key_listener m_replicaIntake;
    peer_network m_network;
    peer_liveness m_liveness;
    heartbeat_exchange m_heartbeats;
    fleet_view m_fleet;
    zone_relay_topology m_zoneRelay;
    mirror_relay m_relay;
    store_mirror m_operatorMirror;
    store_mirror m_replicaMirror;
    store_mirror m_fleetMirror;
    mirror_follower m_operatorFollower;
    mirror_follower m_replicaFollower;
    mirror_follower m_fleetFollower;
    fleet_announcer m_announcer;
    signal m_wake;
    http_server *m_callers = nullptr;
    std::uint64_t m_fleetGeneration = 0;
    std::optional<stop_schedule> m_stop; // once it has been told to
    bool m_stopped = false;
};

} // namespace gooseberrymoor
