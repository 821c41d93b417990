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
#include <string>
#include <vector>

namespace gooseberrymoor {

// Real nodes, as processes, before the stand-ins of the store and of targets; relays stand between
// them. Not thread-safe.
class soak_site
{
public:
    explicit soak_site(std::size_t nodes);
    ~soak_site();

    // Starts all nodes and waits until they serve; false if they don't in time.
    bool start();

    // Plays `plan` while callers ask, then ends all faults.
    void play(const std::vector<planned_fault> &plan, duration length);

    // Whether every node serves every kind of request again, in time.
    bool allNodesServe();

    // Promises that were broken, in words; empty if none.
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
    void begin(const planned_fault &fault);
    void injectNodeFault(fault_kind kind, std::size_t node, time_point until);
    void injectStoreFault(fault_kind kind, time_point until);
    void injectTargetFault(fault_kind kind, std::size_t target, time_point until);
    void scheduleRecovery(time_point when, std::function<void()> run);
    void runDueRecoveries(time_point now);
    bool serves(std::size_t node, const std::string &path);

    std::filesystem::path m_folder;
    small_site m_site;
    std::unique_ptr<tcp_relay> m_storeRelay;
    std::vector<std::unique_ptr<tcp_relay>> m_targetRelays;
    std::map<std::size_t, child_process> m_nodes; // those that run or stand still
    std::size_t m_nodeCount;
    soak_callers m_callers;
    std::vector<scheduled_recovery> m_ends;
    int m_version = 1;
    int m_checks = 0;
};

} // namespace gooseberrymoor
