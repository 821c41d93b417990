#pragma once

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/base/stall_detector.h"
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
#include "gooseberrymoor/mirror/store_availability.h"
#include "gooseberrymoor/mirror/store_mirror.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/replica/cold_target_limiter.h"
#include "gooseberrymoor/replica/expected_wait_selector.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"
#include "gooseberrymoor/store/store_era_tracker.h"
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
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class catalog_decoder;
class event_log;
class http_server;
class key_value_store;
class leaf_protocol;

// One node of a fleet, in which any node may send requests to any target. (In a cell, which `node`
// belongs to, each target has one owner.) Contains its copies of the store's contents, the
// forwarding of requests, and the start and stop of the node. The protocols of callers, targets and
// the store are implemented elsewhere. Not thread-safe. What is passed by reference must outlive
// the executor's last task.
class fleet_node
{
public:
    fleet_node(asio::any_io_executor executor, tier_settings settings, key_value_store &store,
               const catalog_decoder &decoder, const leaf_protocol &protocol, event_log &log,
               counters &counters);

    // Binds the peer address and starts the tasks; the error is human-readable. `callerServer`
    // receives the limits of each configuration and is stopped by `stop`; it must outlive the tier.
    tl::expected<void, std::string> start(http_server &callerServer);

    // Stops gracefully. First the node announces that it is leaving, which removes it from the
    // addresses given to callers, and accepts connections and requests as `stop_schedule` allows.
    // From its close time on, the node accepts no connections and completes running requests. Then
    // the tasks of the node end.
    asio::awaitable<void> stop();

    // Whether the node can serve requests: it has a configuration and is not stopping.
    bool isReady() const;

    // Whether a request that may take up to `maxDuration` is accepted now. A stopping node rejects
    // requests that might not complete in time.
    bool acceptsRequest(duration maxDuration) const;

    // How long a request that is read now may have waited because this process did not run.
    duration possibleReadDelay() const
    {
        return m_stallDetector.possibleReadDelay(millis_clock::now());
    }

    // The routes of the active configuration; null before the first one.
    const std::shared_ptr<const route_table> &routes() const { return m_operatorKeys.routes(); }

    // Whether the routes are as recent as a working reader keeps them.
    bool isCurrent() const { return m_operatorFollower.isCurrent(millis_clock::now()); }

    // Up to `maxCount` addresses that callers in availability zone `zone` may connect to: nodes in
    // their zone, or in zones that contain the targets if their own zone does not.
    std::vector<endpoint> callerAddresses(const std::string &zone, std::size_t maxCount) const;

    forwarder &requests() { return m_forwarder; }
    const forwarder &requests() const { return m_forwarder; }
    const leaf_pool &connections() const { return m_pool; }
    const fleet_view &fleet() const { return m_fleet; }
    const replica_set &replicas() const { return m_replicas; }
    const peer_liveness &liveness() const { return m_liveness; }

    // The store revision of the active configuration; 0 before the first one.
    std::int64_t configurationRevision() const { return m_operatorKeys.revision(); }

    // The followers that keep this node's copies of the store up to date, one for each prefix.
    std::array<const mirror_follower *, 3> followers() const
    {
        return { &m_operatorFollower, &m_replicaFollower, &m_fleetFollower };
    }

    // Whether this node sends requests to `target`, or the reason why it does not.
    target_eligibility eligibilityOf(const known_replica &target, time_point now) const;

    const tier_settings &settings() const { return m_settings; }

private:
    asio::awaitable<void> applyChanges();
    asio::awaitable<void> stopAnnouncer();
    void reconcileConnections();
    void onConfiguration();
    void onFleetChange();
    void onStoreEraChange();
    void updateServingNodes();

    asio::any_io_executor m_executor;
    tier_settings m_settings;
    event_log &m_log;
    counters &m_counters;
    replica_set m_replicas;
    cold_target_limiter m_coldLimiter;
    replica_subset m_subset;
    expected_wait_selector m_selector;
    repeat_budget m_repeatBudget;
    load_shedder m_loadShedder;
    leaf_pool m_pool;
    forwarder m_forwarder;
    operator_key_listener m_operatorKeys;
    replica_key_listener m_replicaKeys;
    peer_network m_network;
    peer_liveness m_liveness;
    heartbeat_exchange m_heartbeats;
    fleet_view m_fleet;
    zone_relay_topology m_relayTopology;
    mirror_relay m_relay;
    store_availability m_storeAvailability;
    store_era_tracker m_storeEra;
    store_mirror m_operatorMirror;
    store_mirror m_replicaMirror;
    store_mirror m_fleetMirror;
    mirror_follower m_operatorFollower;
    mirror_follower m_replicaFollower;
    mirror_follower m_fleetFollower;
    fleet_announcer m_announcer;
    signal m_wake;
    http_server *m_callerServer = nullptr;
    stall_detector m_stallDetector { millis_clock::now() };
    std::uint64_t m_appliedFleetGeneration = 0;
    std::uint64_t m_appliedEraChanges = 0;
    std::mt19937_64 m_random { std::random_device()() };
    std::set<std::string> m_servingNodes; // names of the nodes that callers are sent to
    time_point m_servingNodesUpdatedAt {};
    std::uint64_t m_reconciledGeneration = 0; // of the targets
    time_point m_reconciledAt {};
    std::optional<stop_schedule> m_stopSchedule; // set once the node is stopping
    bool m_stopped = false;
};

} // namespace gooseberrymoor
