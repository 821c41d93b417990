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

json::object viewJson(const cell_view &view)
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

json::object ownershipJson(const ownership &owners, time_point now)
{
    const bool isOnlyMember = owners.leaseExpiry() == time_point::max();
    const duration remaining = std::max(owners.leaseExpiry() - now, duration(0));
    json::array suspects;
    for (const std::string &name : owners.suspects(now))
        suspects.push_back(json::string(name));
    return { { "epoch", owners.view().epoch },
             { "removals", owners.view().removals },
             { "incarnation", std::to_string(owners.self().incarnation) },
             { "listed", owners.isInView() },
             { "only_member", isOnlyMember },
             { "lease_left_ms", isOnlyMember ? 0 : remaining.count() },
             { "waiting_targets", owners.pendingTargetCount(now) },
             { "suspects", suspects } };
}

json::object targetsJson(const target_owner &owner, time_point now)
{
    json::object targets;
    for (const auto &[key, pool] : owner.pools()) {
        const target_admission &admission = pool->admission();
        targets[key] = json::object {
            { "phase", nameOf(admission.phase()) },     { "reason", nameOf(admission.reason()) },
            { "allowance", admission.allowance(now) },  { "running", admission.running() },
            { "lingering", admission.lingering() },     { "waiting", admission.waiting() },
            { "connections", pool->connectionCount() }, { "instance", admission.instance() }
        };
    }
    return targets;
}

// Rate limit of each service in shards per second; 0 means no limit.
json::object rateLimitsJson(const entry_admission &admission)
{
    json::object limits;
    for (const auto &[service, limiter] : admission.rateLimiters())
        limits[service] = limiter.limit();
    return limits;
}

json::object movesJson(const rollout_driver &rollout)
{
    json::object moves;
    for (const auto &[id, record] : rollout.moves())
        moves[id] = json::parse(encodeMove(record));
    return moves;
}

json::object latencyJson(const latency_histogram &histogram)
{
    json::object latency { { "count", histogram.count() } };
    for (const double quantile : reported_quantiles) {
        const std::string name = "p" + std::to_string(quantile * 100).substr(0, 4) + "_ms";
        latency[name] = histogram.quantile(quantile).count();
    }
    return latency;
}

} // namespace

state_report::state_report(state_report_dependencies dependencies)
    : m_dependencies(dependencies) { }

std::string state_report::dump() const
{
    const auto current = m_dependencies.configurations.current();
    json::array zonesOut;
    for (const std::string &zone : current->zonesOut)
        zonesOut.push_back(json::string(zone));
    json::array links;
    for (const std::string &peer : m_dependencies.network.connectedPeers())
        links.push_back(json::string(peer));
    json::object counts;
    for (const auto &[name, count] : m_dependencies.events.all())
        counts[name] = count;
    json::object document {
        { "node", m_dependencies.settings.name },
        { "cell", m_dependencies.settings.cell },
        { "availability_zone", m_dependencies.settings.availabilityZone },
        { "phase", nameOf(m_dependencies.admission.phase()) },
        { "configuration",
          { { "revision", current->revision },
            { "fault", m_dependencies.updater.fault() },
            { "reads_store", m_dependencies.spread.isReader(millis_clock::now()) },
            { "reaches_store", m_dependencies.spread.reachesStore() },
            { "live_peers", m_dependencies.spread.livePeerCount(millis_clock::now()) },
            { "services", current->services.size() },
            { "zones_out", zonesOut } } },
        { "view", viewJson(m_dependencies.membership.view()) },
        { "ownership", ownershipJson(m_dependencies.membership.owners(), millis_clock::now()) },
        { "links", links },
        { "targets", targetsJson(m_dependencies.owner, millis_clock::now()) },
        { "shards_a_second", rateLimitsJson(m_dependencies.admission) },
        { "moves", movesJson(m_dependencies.rollout) },
        { "running_queries", m_dependencies.runner.running() },
        { "outstanding_leaf_requests", m_dependencies.leafClient.outstanding() },
        { "counters", counts },
    };
    if (m_dependencies.handler)
        document["query_latency"] = latencyJson(m_dependencies.handler->queryLatency());
    return json::serialize(document);
}

std::string state_report::metrics() const
{
    std::string text;
    for (const auto &[name, count] : m_dependencies.events.all()) {
        text += "# TYPE gooseberrymoor_" + name + "_total counter\n";
        text += "gooseberrymoor_" + name + "_total " + std::to_string(count) + "\n";
    }
    if (!m_dependencies.handler)
        return text;
    const latency_histogram &latency = m_dependencies.handler->queryLatency();
    text += "# TYPE gooseberrymoor_query_latency_ms summary\n";
    for (const double quantile : reported_quantiles) {
        text += "gooseberrymoor_query_latency_ms{quantile=\"" + std::to_string(quantile) + "\"} "
            + std::to_string(latency.quantile(quantile).count()) + "\n";
    }
    text += "gooseberrymoor_query_latency_ms_count " + std::to_string(latency.count()) + "\n";
    return text;
}

} // namespace gooseberrymoor
