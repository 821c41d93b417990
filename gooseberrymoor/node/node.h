#pragma once

#include "gooseberrymoor/admission/leaf_server.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/configuration/configuration_follower.h"
#include "gooseberrymoor/configuration/configuration_holder.h"
#include "gooseberrymoor/configuration/configuration_relay.h"
#include "gooseberrymoor/configuration/configuration_sync_policy.h"
#include "gooseberrymoor/configuration/configuration_updater.h"
#include "gooseberrymoor/entry/entry_admission.h"
#include "gooseberrymoor/entry/entry_handler.h"
#include "gooseberrymoor/http/http_server.h"
#include "gooseberrymoor/membership/membership_manager.h"
#include "gooseberrymoor/membership/view_listener.h"
#include "gooseberrymoor/node/state_report.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/query/extra_request_budget.h"
#include "gooseberrymoor/query/leaf_client.h"
#include "gooseberrymoor/query/quantile_hedge_policy.h"
#include "gooseberrymoor/query/query_runner.h"
#include "gooseberrymoor/query/snapshot_selector.h"
#include "gooseberrymoor/query/two_choice_selector.h"
#include "gooseberrymoor/rollout/evidence_exchange.h"
#include "gooseberrymoor/rollout/rollout_driver.h"
#include "gooseberrymoor/settings/node_settings.h"
#include "gooseberrymoor/store/etcd_store.h"
#include "gooseberrymoor/target/target_owner.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <random>
#include <string>

namespace gooseberrymoor {

class event_log;

// One node of a cell, in which each target has one owner: the only node that sends requests to it.
// (In a fleet, any node may send to any target, see `fleet_node`.) Creates and connects all
// components of the node, which run on one executor. Not thread-safe.
class node : public view_listener
{
public:
    // `log` must outlive the node, and the node must outlive the executor's last task.
    node(asio::any_io_executor executor, node_settings settings, event_log &log);

    // Opens the node's ports and starts its tasks. Returns an error message on failure.
    tl::expected<void, std::string> start();

    // Shuts down gracefully: leaves the directory, hands over its targets, keeps serving callers
    // that still use its address for the linger time, waits for running requests and closes.
    asio::awaitable<void> stop();

    void onViewChanged(const cell_view &view) override;

private:
    asio::awaitable<void> watchConfiguration();
    void applyChanges();
    void connectToSeedPeers();
    void updatePhase();
    void logConfigurationError();
    std::vector<endpoint> directoryEntries() const;
    asio::awaitable<void> waitUntilIdle(time_point deadline);

    asio::any_io_executor m_executor;
    node_settings m_settings;
    event_log &m_log;
    counters m_events;
    etcd_store m_store;
    configuration_holder m_configurations;
    configuration_sync_policy m_syncPolicy;
    configuration_updater m_updater;
    configuration_follower m_follower;
    peer_network m_network;
    configuration_relay m_relay;
    membership_manager m_membership;
    evidence_exchange m_evidence;
    rollout_driver m_rollout;
    target_owner m_owner;
    leaf_server m_leafServer;
    leaf_client m_leafClient;
    two_choice_selector m_selector;
    quantile_hedge_policy m_hedging;
    extra_request_budget m_extraBudget;
    snapshot_selector m_snapshots;
    std::mt19937_64 m_random;
    query_runner m_runner;
    entry_admission m_admission;
    state_report m_report;
    entry_handler m_handler;
    http_server m_server;
    signal m_wake;
    std::int64_t m_appliedRevision = 0;
    std::string m_loggedConfigurationError;
    bool m_stopped = false;
};

} // namespace gooseberrymoor
