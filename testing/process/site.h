#pragma once

#include "child_process.h"
#include "tcp_relay.h"

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/configuration/service_config.h"
#include "gooseberrymoor/http/http_message.h"

#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// A small site of real processes on loopback: a store, targets and nodes. Not thread-safe.
//
// Service "standings" has the groups g1 and g2, each with one target in each of the availability
// zones kl-a, kl-b and kl-c ("g1-a" to "g2-c"); shard heat-1 is in g1 and heat-2 in g2.
// Nodes n1, n4, ... stand in kl-a, n2, n5, ... in kl-b, n3, n6, ... in kl-c.
class site
{
public:
    // Uses the ports from `firstPort` to `firstPort` + 99, and a folder of its own for files.
    explicit site(int firstPort);
    ~site();
    site(const site &) = delete;
    site &operator=(const site &) = delete;

    // The service as the site describes it, with snapshot s1 only.
    gooseberrymoor::service_config service() const;

    // Starts the store and the six targets (with snapshots s1 and s2), and puts the service.
    // `extraSettings` are further lines of each target's settings file.
    void startBackEnds(int targetLatencyMs = 5, const std::string &extraSettings = "");

    // Starts one more target; its settings file is as for `startBackEnds`.
    void startTarget(const std::string &name, int latencyMs, const std::string &extraSettings);

    // Writes `text` to a file of the site and returns its path.
    std::string writeFile(const std::string &name, const std::string &text) const;

    // Starts node `name`; `extraSettings` are further sections of its settings file.
    void startNode(const std::string &name, const std::string &extraSettings = "");

    // Puts a relay before the program called `name` ("store" or a target), for all that start or
    // are configured from now on. It is the site's; use it at any time.
    tcp_relay &addRelay(const std::string &name);

    // Starts nodes n1 to n`count` and waits until all are ready and linked.
    void startNodes(int count, const std::string &extraSettings = "");

    // Waits until every node of `names` is ready and linked to all others of them.
    bool waitUntilReady(const std::vector<std::string> &names);

    // Writes `service` to the store with the operators' command; returns its exit code.
    int putService(const gooseberrymoor::service_config &service);

    // Runs the operators' command with `arguments` and the store's address; returns its exit code.
    int runCommand(std::vector<std::string> arguments);

    // Starts the operators' command, to run beside others.
    child_process startCommand(std::vector<std::string> arguments) const;

    // The running program called "store", "n1", "g1-a" and so on.
    child_process &process(const std::string &name) { return m_processes.at(name); }

    // Ends a program at once and forgets it.
    void kill(const std::string &name);

    // Starts a program again that has ended or was killed: "store", a target or a node.
    void restart(const std::string &name);

    // Where the program called `name` serves HTTP.
    gooseberrymoor::endpoint addressOf(const std::string &name) const;

    // One HTTP exchange with the program called `name`; nothing if it failed. Without a body a GET.
    std::optional<gooseberrymoor::http_reply> call(const std::string &name, const std::string &path,
                                                   const std::string &body = "") const;

    // The JSON object that `call` brings; empty if it failed.
    boost::json::object callJson(const std::string &name, const std::string &path,
                                 const std::string &body = "") const;

    // What the program called `name` has logged.
    std::string logOf(const std::string &name) const;

    // Names of the targets that were started.
    const std::vector<std::string> &targets() const { return m_targets; }

private:
    gooseberrymoor::endpoint connectAddressOf(const std::string &name) const;
    std::string fileOf(const std::string &name) const { return m_folder + "/" + name; }
    void start(const std::string &name, std::vector<std::string> arguments);

    int m_firstPort;
    std::string m_folder;
    std::vector<std::string> m_targets;
    std::map<std::string, child_process> m_processes;
    std::map<std::string, std::vector<std::string>> m_arguments; // of each program started
    std::map<std::string, std::unique_ptr<tcp_relay>> m_relays;
    std::map<std::string, gooseberrymoor::endpoint> m_relayAddresses;
};

// Asks `condition` again and again until it holds; false if it does not within 30 s.
template <typename Condition> bool eventually(Condition condition);

// Sleeps; for faults that have to last, never to wait for a state.
void pauseFor(gooseberrymoor::duration time);

// One HTTP exchange on a connection of its own; nothing if it failed.
std::optional<gooseberrymoor::http_reply> exchangeNow(const gooseberrymoor::endpoint &server,
                                                      const gooseberrymoor::http_request &request);

constexpr gooseberrymoor::duration eventually_timeout { 30'000 };
constexpr gooseberrymoor::duration eventually_poll_interval { 20 };

template <typename Condition> bool eventually(Condition condition)
{
    const auto limit = gooseberrymoor::millis_clock::now() + eventually_timeout;
    while (gooseberrymoor::millis_clock::now() < limit) {
        if (condition())
            return true;
        pauseFor(eventually_poll_interval);
    }
    return condition();
}
