#include "gooseberrymoor/node/state_report.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/configuration_holder.h"
#include "gooseberrymoor/configuration/configuration_sync_policy.h"
#include "gooseberrymoor/configuration/configuration_updater.h"
#include "gooseberrymoor/entry/entry_handler.h"
#include "gooseberrymoor/membership/membership_manager.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/query/leaf_client.h"
#include "gooseberrymoor/query/query_runner.h"
#include "gooseberrymoor/rollout/move_codec.h"
#include "gooseberrymoor/rollout/rollout_driver.h"
#include "gooseberrymoor/settings/node_settings.h"
#include "gooseberrymoor/target/target_owner.h"
#include "gooseberrymoor/target/target_pool.h"

#include <boost/json.hpp>

#include <array>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

constexpr std::array reported_quantiles { 0.5, 0.9, 0.99, 0.999 };

json::object membersOf(const cell_view &view)
{
    json::array members;
    for (const member &each : view.members) {
        members.push_back(json::object { { "name", each.name },
                                         { "availability_zone", each.availabilityZone },
                                         { "entry_address", toString(each.entryAddress) },
                                         { "leaving", each.leaving } });
    }
    return { { "epoch", view.epoch }, { "members", members } };
}

json::object ownershipOf(const ownership &owners, time_point now)
{
    const bool alone = owners.leaseExpiry() == time_point::max();
    const duration left = std::max(owners.leaseExpiry() - now, duration(0));
    json::array suspects;
    for (const std::string &name : owners.suspects(now))
        suspects.push_back(json::string(name));
    return { { "epoch", owners.view().epoch },
             { "removals", owners.view().removals },
             { "incarnation", std::to_string(owners.self().incarnation) },
             { "listed", owners.isInView() },
             { "only_member", alone },
             { "lease_left_ms", alone ? 0 : left.count() },
             { "waiting_targets", owners.pendingTargetCount(now) },
             { "suspects", suspects } };
}

json::object targetsOf(const target_owner &owner, time_point now)
{
    json::object targets;
    for (const auto &[key, pool] : owner.pools()) {
        const target_admission &admission = pool->admission();
        targets[key] = json::object {
            { "phase", nameOf(admission.phase()) },    { "reason", nameOf(admission.reason()) },
            { "allowance", admission.allowance(now) }, { "running", admission.running() },
            { "lingering", admission.lingering() },    { "waiting", admission.waiting() },
            { "connections", pool->connections() },    { "instance", admission.instance() }
        };
    }
    return targets;
}

// Shards a second that callers may ask of each service; 0 means that there is no limit.
json::object limitsOf(const entry_admission &admission)
{
    json::object limits;
    for (const auto &[service, rate] : admission.rateLimiters())
        limits[service] = rate.limit();
    return limits;
}

json::object movesOf(const rollout_driver &rollout)
{
    json::object moves;
    for (const auto &[id, record] : rollout.moves())
        moves[id] = json::parse(encodeMove(record));
    return moves;
}

json::object latencyOf(const latency_histogram &histogram)
{
    json::object latency { { "count", histogram.count() } };
    for (const double quantile : reported_quantiles) {
        const std::string name = "p" + std::to_string(quantile * 100).substr(0, 4) + "_ms";
        latency[name] = histogram.quantile(quantile).count();
    }
    return latency;
}

} // namespace

state_report::state_report(reported_parts parts) : m_parts(parts) { }

std::string state_report::dump() const
{
    const auto current = m_parts.configurations.current();
    json::array zonesOut;
    for (const std::string &zone : current->zonesOut)
        zonesOut.push_back(json::string(zone));
    json::array links;
    for (const std::string &peer : m_parts.network.connectedPeers())
        links.push_back(json::string(peer));
    json::object counts;
    for (const auto &[name, count] : m_parts.events.all())
        counts[name] = count;
    json::object document {
        { "node", m_parts.settings.name },
        { "cell", m_parts.settings.cell },
        { "availability_zone", m_parts.settings.availabilityZone },
        { "phase", nameOf(m_parts.admission.phase()) },
        { "configuration",
          { { "revision", current->revision },
            { "fault", m_parts.updater.fault() },
            { "reads_store", m_parts.spread.isReader(millis_clock::now()) },
            { "reaches_store", m_parts.spread.reachesStore() },
            { "live_peers", m_parts.spread.livePeerCount(millis_clock::now()) },
            { "services", current->services.size() },
            { "zones_out", zonesOut } } },
        { "view", membersOf(m_parts.membership.view()) },
        { "ownership", ownershipOf(m_parts.membership.owners(), millis_clock::now()) },
        { "links", links },
        { "targets", targetsOf(m_parts.owner, millis_clock::now()) },
        { "shards_a_second", limitsOf(m_parts.admission) },
        { "moves", movesOf(m_parts.rollout) },
        { "running_queries", m_parts.runner.running() },
        { "outstanding_leaf_requests", m_parts.leafClient.outstanding() },
        { "counters", counts },
    };
    if (m_parts.handler)
        document["query_latency"] = latencyOf(m_parts.handler->queryLatency());
    return json::serialize(document);
}

std::string state_report::metrics() const
{
    std::string text;
    for (const auto &[name, count] : m_parts.events.all()) {
        text += "# TYPE gooseberrymoor_" + name + "_total counter\n";
        text += "gooseberrymoor_" + name + "_total " + std::to_string(count) + "\n";
    }
    if (!m_parts.handler)
        return text;
    const latency_histogram &latency = m_parts.handler->queryLatency();
    text += "# TYPE gooseberrymoor_query_latency_ms summary\n";
    for (const double quantile : reported_quantiles) {
        text += "gooseberrymoor_query_latency_ms{quantile=\"" + std::to_string(quantile) + "\"} "
            + std::to_string(latency.quantile(quantile).count()) + "\n";
    }
    text += "gooseberrymoor_query_latency_ms_count " + std::to_string(latency.count()) + "\n";
    return text;
}

} // namespace gooseberrymoor
