#pragma once

#include "leaf_stand_in.h"
#include "platform_store_stand_in.h"
#include "store_path_stand_in.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/http/http_message.h"
#include "gooseberrymoor/http/http_server.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class small_node;
namespace platform {
struct platform_settings;
} // namespace platform

// Records the names of all events.
class event_name_log : public event_log
{
public:
    void write(std::string_view event, std::initializer_list<field>) override
    {
        events.insert(std::string(event));
    }
    std::multiset<std::string> events;
};

// The store, targets and nodes of a small site in one process. The loopback addresses are derived
// from the process id, so that concurrent test processes use different ones. Each node has its own
// executor, so that it can be killed alone.
class small_site
{
public:
    // Starts the store and the targets: the shard services s1 and s2 and the service "single", each
    // with one target in each of `zones` availability zones.
    explicit small_site(int zones = 2);
    ~small_site();

    // Starts the node "node-`index`".
    void startNode(int index);

    // Stops a node abruptly, as a crash would.
    void killNode(int index);

    // Starts the graceful stop of a node; `hasStopped` tells whether it has completed.
    void stopNode(int index);
    bool hasStopped(int index) const;

    small_node &node(int index);

    // Cuts or restores the path of node `index` to the store; the other nodes reach it all the
    // while.
    void setCutFromStore(int index, bool cut);

    // Runs the stand-ins and nodes until `condition` holds. Returns false on a timeout.
    bool runUntil(const std::function<bool()> &condition);
    void runFor(duration time);

    // Sends one request to a node over a new connection and calls `done` with the reply. Its status
    // is 0 if there was none.
    void send(int index, const std::string &method, const std::string &path,
              const std::string &attemptId, int deadlineMs, std::function<void(http_reply)> done);

    // Sends one request and runs until its reply.
    http_reply ask(int index, const std::string &method, const std::string &path,
                   const std::string &attemptId, int deadlineMs = 2000);

    // The response of a node's directory.
    std::string directory(int index);

    // Writes a configuration with this version to the store; `extra` is the path prefix of an
    // additional route.
    void configure(int version, const std::string &extra = "");

    // The executor of the stand-ins, which `runFor` and `runUntil` drive.
    asio::any_io_executor executor() { return m_context.get_executor(); }

    // The loopback address of this site whose last octet is `number`.
    std::string host(int number) const { return m_network + std::to_string(number); }

    endpoint storeAddress() const;

    // The address at which the store serves node `index` alone.
    endpoint storeAddressOf(int index) const;

    // The settings of node `index`.
    platform::platform_settings settingsOf(int index) const;

    platform_store_stand_in &store() { return *m_store; }
    std::vector<std::unique_ptr<leaf_stand_in>> &leafs() { return m_leafs; }
    const std::vector<std::unique_ptr<leaf_stand_in>> &leafs() const { return m_leafs; }
    leaf_stand_in &leaf(const std::string &id);

    // Writes the store entry of `leaf`, with `state`.
    void write(leaf_stand_in &leaf, const std::string &state = "ready");

    // The store goes away for `outage` and comes back from its copy (`platform_store_state::copy`).
    void restoreStore(duration outage);

private:
    // The store as node `index` reaches it.
    struct store_path
    {
        std::unique_ptr<store_path_stand_in> handler;
        std::unique_ptr<http_server> server;
    };

    void openStorePath(int index);
    void addLeaf(const std::string &service, int zone, const std::string &body);
    void pollAll();

    asio::io_context m_context { 1 };
    counters m_events;
    std::unique_ptr<platform_store_stand_in> m_store;
    std::unique_ptr<http_server> m_storeServer;
    std::vector<std::unique_ptr<leaf_stand_in>> m_leafs;
    std::vector<std::unique_ptr<http_server>> m_leafServers;
    std::map<int, store_path> m_storePaths; // by node
    std::map<int, std::unique_ptr<small_node>> m_nodes;
    std::string m_network; // "127.x.y."
};

} // namespace gooseberrymoor
