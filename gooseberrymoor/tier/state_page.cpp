#include "gooseberrymoor/tier/state_page.h"

#include "gooseberrymoor/tier/fleet_node.h"

#include <boost/json.hpp>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

json::object nodeState(const fleet_node &tier)
{
    const fleet_member &own = tier.fleet().own();
    return { { "name", own.name },
             { "availability_zone", own.availabilityZone },
             { "ready", tier.isReady() },
             { "leaving", own.leaving },
             { "running_requests", tier.requests().running() },
             { "target_connections", tier.connections().openConnections() } };
}

json::object configurationState(const fleet_node &tier)
{
    const auto &routes = tier.routes();
    json::array zonesOut;
    for (const std::string &zone : tier.replicas().zonesOut())
        zonesOut.emplace_back(zone);
    return { { "version", routes ? routes->configuration().version : 0 },
             { "revision", tier.configurationRevision() },
             { "routes", routes ? routes->configuration().routes.size() : 0 },
             { "current", tier.isCurrent() },
             { "zones_out", std::move(zonesOut) } };
}

json::array storeState(const fleet_node &tier, time_point now)
{
    json::array prefixes;
    for (const mirror_follower *each : tier.followers()) {
        prefixes.push_back(json::object { { "prefix", each->prefix() },
                                          { "era", static_cast<std::uint64_t>(each->era()) },
                                          { "revision", each->revision() },
                                          { "age_ms", each->age(now).count() },
                                          { "current", each->isCurrent(now) } });
    }
    return prefixes;
}

json::array nodesState(const fleet_node &tier, time_point now)
{
    const peer_liveness &liveness = tier.liveness();
    json::array nodes;
    for (const auto &[name, zone] : tier.fleet().peerZones()) {
        nodes.push_back(json::object { { "name", name },
                                       { "availability_zone", zone },
                                       { "heard", liveness.isAlive(name, now) },
                                       { "leaving", liveness.isLeaving(name) },
                                       { "watched", liveness.isWatched(name) } });
    }
    return nodes;
}

// The age of a target's notice that it is leaving; null if it gave none.
json::value leavingAge(const replica_backpressure &backpressure, time_point now)
{
    if (!backpressure.isLeaving())
        return nullptr;
    return (now - backpressure.leavingSince()).count();
}

json::object targetState(const fleet_node &tier, const known_replica &target, time_point now)
{
    const replica &entry = target.entry;
    const replica_health &health = target.health;
    return { { "id", entry.id },
             { "service", entry.service },
             { "address", toString(entry.address) },
             { "availability_zone", entry.availabilityZone },
             { "version", entry.version },
             { "standing", std::string(nameOf(tier.eligibilityOf(target, now))) },
             { "cold_ms", std::max<duration::rep>(0, (target.coldUntil - now).count()) },
             { "leaving_for_ms", leavingAge(target.backpressure, now) },
             { "backoff_ms",
               std::max<duration::rep>(0, (target.backpressure.backoffUntil() - now).count()) },
             { "outstanding", health.outstanding() },
             { "oldest_wait_ms", health.oldestRequestAge(now).count() },
             { "latency_ms", health.averageLatencyMs() },
             { "failure_share", health.failureRate(now) },
             { "slots", entry.slots } };
}

json::array targetsState(const fleet_node &tier, time_point now)
{
    json::array targets;
    for (const auto &[id, target] : tier.replicas().all())
        targets.push_back(targetState(tier, *target, now));
    return targets;
}

} // namespace

std::string statePage(const fleet_node &tier, time_point now)
{
    const json::object state { { "node", nodeState(tier) },
                               { "configuration", configurationState(tier) },
                               { "store", storeState(tier, now) },
                               { "nodes", nodesState(tier, now) },
                               { "targets", targetsState(tier, now) } };
    return json::serialize(state) + "\n";
}

} // namespace gooseberrymoor
