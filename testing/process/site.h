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

// A small site of real processes on the loopback address: a store, targets and nodes. Not
// thread-safe.
//
// Service "standings" has the groups g1 and g2, each with one target in each of the availability
// zones kl-a, kl-b and kl-c ("g1-a" to "g2-c"); shard heat-1 is in g1 and heat-2 in g2.
// Nodes n1, n4, ... are in kl-a, n2, n5, ... in kl-b, n3, n6, ... in kl-c.
class site
{
public:
    // Uses the ports `firstPort` to `firstPort` + 99 and a temporary folder.
    explicit site(int firstPort);
    ~site();
    site(const site &) = delete;
    site &operator=(const site &) = delete;

    // The configuration of the service, with snapshot s1 only.
    gooseberrymoor::service_config service() const;

    // Starts the store and the six targets (with snapshots s1 and s2), and writes the service to
    // the store. `extraSettings` are additional lines for each target's settings file.
    void startBackEnds(int targetLatencyMs = 5, const std::string &extraSettings = "");

    // Starts an additional target. The settings are as for `startBackEnds`.
    void startTarget(const std::string &name, int latencyMs, const std::string &extraSettings);

    // Writes `text` to a file of the site and returns its path.
    std::string writeFile(const std::string &name, const std::string &text) const;

    // Starts node `name`; `extraSettings` are additional sections for its settings file.
    void startNode(const std::string &name, const std::string &extraSettings = "");

    // Creates a relay in front of the program `name` ("store" or a target). Applies to nodes
    // started and to services configured afterwards. The relay is owned by the site.
    tcp_relay &addRelay(const std::string &name);

    // Starts the nodes n1 to n`count` and waits until all are ready and linked. Returns without an
    // error if that takes longer than `eventually_timeout`.
    void startNodes(int count, const std::string &extraSettings = "");

    // Waits until every node of `names` is ready and linked to all others.
    bool waitUntilReady(const std::vector<std::string> &names);

    // Writes `service` to the store with the `gooseberrymoor` command; returns its exit code.
    int putService(const gooseberrymoor::service_config &service);

    // Runs the `gooseberrymoor` command with `arguments` and the store's address; returns its exit
    // code.
    int runCommand(std::vector<std::string> arguments);

    // Starts the `gooseberrymoor` command without waiting for it.
    child_process startCommand(std::vector<std::string> arguments) const;

    // The running program `name`: "store", "n1", "g1-a" and so on.
    child_process &process(const std::string &name) { return m_processes.at(name); }

    // Kills a program and removes it from the site.
    void kill(const std::string &name);

    // Kills a program if it is running, and starts it again with the same arguments.
    void restart(const std::string &name);

    // The HTTP address of the program `name`.
    gooseberrymoor::endpoint addressOf(const std::string &name) const;

    // Sends one HTTP request to the program `name`: a POST, or a GET if `body` is empty. Returns
    // nothing if it failed.
    std::optional<gooseberrymoor::http_reply> call(const std::string &name, const std::string &path,
                                                   const std::string &body = "") const;

    // Like `call`, but returns the body as a JSON object; empty if that failed.
    boost::json::object callJson(const std::string &name, const std::string &path,
                                 const std::string &body = "") const;

    // The log of the program `name`.
    std::string logOf(const std::string &name) const;

    // The names of all targets started so far.
    const std::vector<std::string> &targets() const { return m_targets; }

private:
    gooseberrymoor::endpoint connectAddressOf(const std::string &name) const;
    std::string fileOf(const std::string &name) const { return m_folder + "/" + name; }
    void start(const std::string &name, std::vector<std::string> arguments);

    int m_firstPort;
    std::string m_folder;
    std::vector<std::string> m_targets;
    std::map<std::string, child_process> m_processes;
    std::map<std::string, std::vector<std::string>> m_arguments; // of each program that was started
    std::map<std::string, std::unique_ptr<tcp_relay>> m_relays;
    std::map<std::string, gooseberrymoor::endpoint> m_relayAddresses;
};

// Polls `condition` until it holds. Returns false if it does not within `eventually_timeout`.
template <typename Condition> bool eventually(Condition condition);

// Sleeps. Meant for faults that have to last; use `eventually` to wait for a state.
void pauseFor(gooseberrymoor::duration time);

// Sends one HTTP request on a new connection and waits for the reply; nothing if it failed.
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
