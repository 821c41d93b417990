#pragma once

#include "gooseberrymoor/entry/state_source.h"

namespace gooseberrymoor {

class configuration_holder;
class configuration_updater;
class configuration_sync_policy;
class counters;
class entry_admission;
class entry_handler;
class leaf_client;
class membership_manager;
class peer_network;
class query_runner;
class rollout_driver;
class target_owner;
struct node_settings;

// The components that the report reads. All must outlive it.
struct state_report_dependencies
{
    const node_settings &settings;
    const counters &events;
    const configuration_holder &configurations;
    const configuration_updater &updater;
    const configuration_sync_policy &spread;
    const membership_manager &membership;
    const peer_network &network;
    const target_owner &owner;
    const query_runner &runner;
    const leaf_client &leafClient;
    const entry_admission &admission;
    const rollout_driver &rollout;
    const entry_handler *handler = nullptr; // null until `setHandler` is called
};

// Reports the state of one node as JSON, and its counters in the Prometheus text format.
class state_report : public state_source
{
public:
    explicit state_report(state_report_dependencies dependencies);

    // Sets the entry handler whose query latencies are reported.
    void setHandler(const entry_handler &handler) { m_dependencies.handler = &handler; }

    std::string dump() const override;
    std::string metrics() const override;

private:
    state_report_dependencies m_dependencies;
};

} // namespace gooseberrymoor
