#include "soak_site.h"

#include "platform/platform_settings.h"
#include "platform/protocol_names.h"
#include "testing/platform_stand_in/settings_file.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <unistd.h>

namespace gooseberrymoor {

namespace {

constexpr std::size_t caller_count = 8;
constexpr int relay_host = 2;
constexpr int grace_s = 2;
constexpr int millis_per_second = 1000;
constexpr unsigned status_ok = 200;
constexpr unsigned status_refused = 503;
constexpr const char *ready_state = "ready";
constexpr duration store_copy_interval { 3000 };
constexpr duration max_restore_outage { 1000 };
constexpr duration rewrite_delay { 300 }; // of operators and targets after the store's return
constexpr const char *pause_seconds = "0.4"; // that a full target asks for

std::vector<endpoint> callerAddresses(const small_site &site, std::size_t nodes)
{
    std::vector<endpoint> addresses;
    for (std::size_t i = 0; i < nodes; ++i)
        addresses.push_back(site.settingsOf(static_cast<int>(i)).callerAddress);
    return addresses;
}

} // namespace

soak_site::soak_site(std::size_t nodes)
    : m_folder(std::filesystem::temp_directory_path()
               / ("gooseberrymoor-soak-" + std::to_string(getpid()))),
      m_nodeCount(nodes), m_callers(m_site.executor(), callerAddresses(m_site, nodes))
{
    std::filesystem::create_directories(m_folder);
    const endpoint store = m_site.storeAddress();
    m_storeRelay = std::make_unique<tcp_relay>(relayAddressFor(store), store);
    for (const auto &leaf : m_site.leafs()) {
        const endpoint relayed = relayAddressFor(leaf->address());
        m_targetRelays.push_back(std::make_unique<tcp_relay>(relayed, leaf->address()));
        leaf->setAddress(relayed);
        writeTarget(*leaf, ready_state);
    }
    m_site.configure(m_version);
}

// The listen address of the relay in front of `server`.
endpoint soak_site::relayAddressFor(const endpoint &server) const
{
    return { m_site.host(relay_host), server.port };
}

soak_site::~soak_site()
{
    m_nodes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

bool soak_site::start()
{
    for (std::size_t i = 0; i < m_nodeCount; ++i)
        startNode(i);
    return allNodesServe();
}

void soak_site::startNode(std::size_t node)
{
    platform::platform_settings settings = m_site.settingsOf(static_cast<int>(node));
    settings.storeAddress = relayAddressFor(settings.storeAddress);
    const std::string &name = settings.tier.own.name;
    const std::filesystem::path file = m_folder / (name + ".toml");
    std::ofstream(file) << formatSettingsFile(settings, grace_s);
    const std::vector<std::string> command { PROGRAM_FOLDER "/gooseberrymoor-platformd",
                                             "--settings=" + file.string() };
    m_stopping.erase(node);
    m_nodes.emplace(node, child_process(command, (m_folder / (name + ".log")).string()));
}

void soak_site::runPlan(const std::vector<planned_fault> &plan, duration length)
{
    // The size of the plan serves as the seed of the callers.
    m_callers.start(caller_count, static_cast<std::uint32_t>(plan.size()));
    const time_point planStart = millis_clock::now();
    for (const planned_fault &each : plan) {
        m_site.runUntil([&] {
            runDueRecoveries(millis_clock::now());
            return millis_clock::now() >= planStart + each.at;
        });
        injectFault(each);
    }
    m_site.runUntil([&] {
        runDueRecoveries(millis_clock::now());
        return m_recoveries.empty() && millis_clock::now() >= planStart + length;
    });
    m_callers.stop();
    m_site.runUntil([&] { return m_callers.haveStopped(); });
}

void soak_site::injectFault(const planned_fault &fault)
{
    const time_point until = millis_clock::now() + fault.length;
    switch (fault.kind) {
    case fault_kind::node_killed:
    case fault_kind::node_stopped:
    case fault_kind::node_paused:
    case fault_kind::node_paused_long:
        injectNodeFault(fault.kind, fault.subject % m_nodeCount, until);
        break;
    case fault_kind::target_silent:
    case fault_kind::target_replies_lost:
    case fault_kind::target_connections_silent:
    case fault_kind::target_full:
    case fault_kind::target_failing:
    case fault_kind::target_draining:
    case fault_kind::target_leaving:
    case fault_kind::target_backing_off:
    case fault_kind::target_replies_repeated:
    case fault_kind::target_replies_cut:
    case fault_kind::target_replies_chunked:
    case fault_kind::target_refusals_chunked:
        injectTargetFault(fault.kind, fault.subject % targets(), until);
        break;
    case fault_kind::configuration_changed:
        ++m_version;
        m_site.configure(m_version, "/extra/" + std::to_string(m_version) + "/");
        break;
    default:
        injectStoreFault(fault.kind, until);
    }
}

void soak_site::injectNodeFault(fault_kind kind, std::size_t node, time_point until)
{
    const auto found = m_nodes.find(node);
    if (found == m_nodes.end())
        return; // already down
    if (kind == fault_kind::node_paused || kind == fault_kind::node_paused_long) {
        found->second.sendSignal(SIGSTOP);
        scheduleRecovery(until, [this, node] {
            const auto paused = m_nodes.find(node);
            if (paused != m_nodes.end())
                paused->second.sendSignal(SIGCONT);
        });
        return;
    }
    if (kind == fault_kind::node_killed) {
        m_nodes.erase(found);
        scheduleRecovery(until, [this, node] { startNode(node); });
        return;
    }
    found->second.sendSignal(SIGCONT);
    found->second.sendSignal(SIGTERM);
    m_stopping.insert(node);
    scheduleRecovery(millis_clock::now() + duration(grace_s * millis_per_second), [this, node] {
        const auto stopped = m_nodes.find(node);
        if (stopped == m_nodes.end())
            return; // killed meanwhile; the end of that fault restarts it
        m_nodes.erase(stopped);
        startNode(node);
    });
}

void soak_site::injectStoreFault(fault_kind kind, time_point until)
{
    platform_store_stand_in &store = m_site.store();
    switch (kind) {
    case fault_kind::store_silent:
        store.setFaultMode(store_fault_mode::silent);
        scheduleRecovery(until, [&store] { store.setFaultMode(store_fault_mode::no_fault); });
        break;
    case fault_kind::store_busy:
        store.setFaultMode(store_fault_mode::busy);
        scheduleRecovery(until, [&store] { store.setFaultMode(store_fault_mode::no_fault); });
        break;
    case fault_kind::store_replies_lost:
        m_storeRelay->setMode(relay_mode::drop_replies);
        scheduleRecovery(until, [this] { m_storeRelay->setMode(relay_mode::forward); });
        break;
    case fault_kind::store_replies_chunked:
        m_storeRelay->setMode(relay_mode::chunk_replies);
        scheduleRecovery(until, [this] { m_storeRelay->setMode(relay_mode::forward); });
        break;
    case fault_kind::store_connections_silent:
        m_storeRelay->silenceOpenConnections();
        break;
    case fault_kind::store_writes_lost:
        store.loseWriteReplies(2);
        break;
    case fault_kind::store_restored:
        restoreStore(until);
        break;
    default:
        store.state().compact();
    }
}

// The store is away until `until` at the latest, and comes back from its last copy.
void soak_site::restoreStore(time_point until)
{
    platform_store_stand_in &store = m_site.store();
    store.setFaultMode(store_fault_mode::busy);
    const time_point back = std::min(until, millis_clock::now() + max_restore_outage);
    scheduleRecovery(back, [&store] {
        store.restoreCopy();
        store.setFaultMode(store_fault_mode::no_fault);
    });
    scheduleRecovery(back + rewrite_delay, [this] { rewriteKeys(); });
}

// Operators and targets write again what they had written.
void soak_site::rewriteKeys()
{
    m_site.configure(m_version, m_version > 1 ? "/extra/" + std::to_string(m_version) + "/" : "");
    for (const auto &leaf : m_site.leafs())
        m_site.write(*leaf, m_targetStates.at(leaf.get()));
}

void soak_site::writeTarget(leaf_stand_in &leaf, const std::string &state)
{
    m_targetStates[&leaf] = state;
    m_site.write(leaf, state);
}

void soak_site::injectTargetFault(fault_kind kind, std::size_t target, time_point until)
{
    leaf_stand_in &leaf = *m_site.leafs()[target];
    tcp_relay &relay = *m_targetRelays[target];
    const auto setMode = [&](relay_mode mode) {
        relay.setMode(mode);
        scheduleRecovery(until, [&relay] { relay.setMode(relay_mode::forward); });
    };
    const auto setFaultMode = [&](leaf_fault_mode mode) {
        leaf.setFaultMode(mode);
        scheduleRecovery(until, [&leaf] { leaf.setFaultMode(leaf_fault_mode::no_fault); });
    };
    switch (kind) {
    case fault_kind::target_silent:
        setMode(relay_mode::silent);
        break;
    case fault_kind::target_replies_lost:
        setMode(relay_mode::drop_replies);
        break;
    case fault_kind::target_connections_silent:
        relay.silenceOpenConnections();
        break;
    case fault_kind::target_full:
        setFaultMode(leaf_fault_mode::full);
        break;
    case fault_kind::target_failing:
        setFaultMode(leaf_fault_mode::failing);
        break;
    case fault_kind::target_leaving:
        leaf.setLeaving(true);
        scheduleRecovery(until, [this, &leaf] {
            leaf.restart();
            writeTarget(leaf, ready_state);
        });
        break;
    case fault_kind::target_backing_off:
        leaf.setRetryAfter(pause_seconds);
        setFaultMode(leaf_fault_mode::full);
        scheduleRecovery(until, [&leaf] { leaf.setRetryAfter(""); });
        break;
    case fault_kind::target_replies_repeated:
        setMode(relay_mode::repeat_replies);
        break;
    case fault_kind::target_replies_cut:
        setMode(relay_mode::cut_replies);
        break;
    case fault_kind::target_replies_chunked:
        setMode(relay_mode::chunk_replies);
        break;
    case fault_kind::target_refusals_chunked:
        setMode(relay_mode::chunk_replies);
        setFaultMode(leaf_fault_mode::full);
        break;
    default:
        writeTarget(leaf, "draining");
        scheduleRecovery(until, [this, &leaf] { writeTarget(leaf, ready_state); });
    }
}

void soak_site::scheduleRecovery(time_point when, std::function<void()> run)
{
    m_recoveries.push_back({ when, std::move(run) });
}

void soak_site::runDueRecoveries(time_point now)
{
    if (now >= m_storeCopiedAt + store_copy_interval) {
        m_storeCopiedAt = now;
        m_site.store().state().copy();
    }
    restartEndedNodes();
    std::vector<scheduled_recovery> due;
    for (const scheduled_recovery &each : m_recoveries) {
        if (each.when <= now)
            due.push_back(each);
    }
    std::erase_if(m_recoveries, [now](const scheduled_recovery &each) { return each.when <= now; });
    for (const scheduled_recovery &each : due)
        each.run();
}

// Nodes that ended by themselves violate a guarantee. They are started again, so that one fault
// doesn't hide others.
void soak_site::restartEndedNodes()
{
    for (std::size_t node = 0; node < m_nodeCount; ++node) {
        const auto found = m_nodes.find(node);
        if (found == m_nodes.end() || m_stopping.contains(node) || !found->second.hasEnded())
            continue;
        m_ownEnds.push_back("node " + std::to_string(node) + " ended by itself");
        m_nodes.erase(found);
        startNode(node);
    }
}

bool soak_site::allNodesServe()
{
    restartEndedNodes();
    const std::string newest = "/extra/" + std::to_string(m_version) + "/1";
    for (std::size_t node = 0; node < m_nodeCount; ++node) {
        std::vector<std::string> paths { "/sweep/1", "/get/1", "/post/1" };
        if (m_version > 1)
            paths.push_back(newest);
        for (const std::string &path : paths) {
            if (!m_site.runUntil([&] { return serves(node, path); }))
                return false;
        }
    }
    return true;
}

bool soak_site::allNodesArePublished()
{
    for (std::size_t node = 0; node < m_nodeCount; ++node) {
        const std::string key
            = platform::fleet_prefix + m_site.settingsOf(static_cast<int>(node)).tier.own.name;
        if (!m_site.runUntil([&] { return m_site.store().state().value(key).has_value(); }))
            return false;
    }
    return true;
}

bool soak_site::serves(std::size_t node, const std::string &path)
{
    const std::string method = path.starts_with("/post/") ? "POST" : "GET";
    const std::string id = "check-" + std::to_string(++m_checks);
    return m_site.ask(static_cast<int>(node), method, path, id).status == status_ok;
}

std::size_t soak_site::answeredCount() const
{
    const auto &records = m_callers.records();
    return static_cast<std::size_t>(
        std::count_if(records.begin(), records.end(),
                      [](const soak_record &each) { return each.status == status_ok; }));
}

std::vector<std::string> soak_site::guaranteeViolations() const
{
    std::vector<std::string> violations = m_ownEnds;
    for (const soak_record &each : m_callers.records()) {
        int runs = 0;
        for (const auto &leaf : m_site.leafs())
            runs += leaf->runsOf(each.attemptId);
        const std::string description = each.attemptId + " " + each.path + " with status "
            + std::to_string(each.status) + " ran " + std::to_string(runs) + " times";
        if (each.mustNotRun && runs > 0)
            violations.push_back(description + " although it was never sent as a whole request");
        const bool refused = each.status == status_refused;
        if (!each.isRepeatable && (runs > 1 || (refused && runs > 0)))
            violations.push_back(description);
        if (each.status == status_ok && runs == 0)
            violations.push_back(description);
        if (each.status == status_ok && !each.isOwnAnswer)
            violations.push_back(description
                                 + " and got an answer that is not its own or not whole");
    }
    return violations;
}

} // namespace gooseberrymoor
