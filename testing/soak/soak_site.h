#pragma once

#include "fault_plan.h"
#include "soak_callers.h"

#include "testing/platform_stand_in/small_site.h"
#include "testing/process/child_process.h"
#include "testing/process/tcp_relay.h"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Runs real node processes against the stand-ins of the store and of the targets. All connections
// from nodes to stand-ins pass through relays. Not thread-safe.
class soak_site
{
public:
    explicit soak_site(std::size_t nodes);
    ~soak_site();

    // Starts all nodes and waits until they serve. Returns false on a timeout.
    bool start();

    // Injects the faults of `plan` while callers send requests, then ends all faults.
    void runPlan(const std::vector<planned_fault> &plan, duration length);

    // Waits until every node serves every kind of request. Returns false on a timeout.
    bool allNodesServe();

    // Waits until the store has the key of every node. Returns false on a timeout.
    bool allNodesArePublished();

    // Describes each request that violated a guarantee: an unsafe request that ran more than once
    // or ran although it was refused, an answer to a request that did not run, or an answer that
    // is incomplete or belongs to another request, or a run of a request that was only the body of
    // another one. Also names each node that ended by itself.
    std::vector<std::string> guaranteeViolations() const;

    std::size_t targets() { return m_site.leafs().size(); }
    std::size_t requestCount() const { return m_callers.records().size(); }
    std::size_t answeredCount() const;

private:
    struct scheduled_recovery
    {
        time_point when;
        std::function<void()> run;
    };

    endpoint relayAddressFor(const endpoint &server) const;
    void startNode(std::size_t node);
    void injectFault(const planned_fault &fault);
    void injectNodeFault(fault_kind kind, std::size_t node, time_point until);
    void injectStoreFault(fault_kind kind, time_point until);
    void restoreStore(time_point until);
    void rewriteKeys();
    void writeTarget(leaf_stand_in &leaf, const std::string &state);
    void injectTargetFault(fault_kind kind, std::size_t target, time_point until);
    void scheduleRecovery(time_point when, std::function<void()> run);
    void runDueRecoveries(time_point now);
    void restartEndedNodes();
    bool serves(std::size_t node, const std::string &path);

    std::filesystem::path m_folder;
    small_site m_site;
    std::unique_ptr<tcp_relay> m_storeRelay;
    std::vector<std::unique_ptr<tcp_relay>> m_targetRelays;
    std::map<std::size_t, child_process> m_nodes; // running or paused nodes
    std::set<std::size_t> m_stopping; // were asked to stop
    std::vector<std::string> m_ownEnds; // nodes that ended by themselves
    std::size_t m_nodeCount;
    soak_callers m_callers;
    std::vector<scheduled_recovery> m_recoveries;
    std::map<const leaf_stand_in *, std::string> m_targetStates; // as last written
    time_point m_storeCopiedAt {};
    int m_version = 1;
    int m_checks = 0;
};

} // namespace gooseberrymoor
