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

// What the report looks at; everything must outlive it.
struct reported_parts
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
    const entry_handler *handler = nullptr; // null until the entry is up
};

// The state of one node as JSON, and its counters for collectors.
class state_report : public state_source
{
public:
    explicit state_report(reported_parts parts);

    // The entry's handler, whose latencies are shown from now on.
    void setHandler(const entry_handler &handler) { m_parts.handler = &handler; }

    std::string dump() const override;
    std::string metrics() const override;

private:
    reported_parts m_parts;
};

} // namespace gooseberrymoor
