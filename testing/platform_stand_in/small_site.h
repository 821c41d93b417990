#pragma once

#include "leaf_stand_in.h"
#include "platform_store_stand_in.h"

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

// A log that keeps the names of the events written.
class event_name_log : public event_log
{
public:
    void write(std::string_view event, std::initializer_list<field>) override
    {
        events.insert(std::string(event));
    }
    std::multiset<std::string> events;
};

// The store, targets and nodes of a small site in one process, on loopback addresses that no
// other process uses. Nodes have an executor of their own, so that one can be killed.
class small_site
{
public:
    // Two shards and a service of single requests, each with targets in `zones` zones.
    explicit small_site(int zones = 2);
    ~small_site();

    // Starts a node with the number `index`, which names it.
    void startNode(int index);

    // Ends a node without a word.
    void killNode(int index);

    // Asks a node to stop gracefully; `hasStopped` tells when it has.
    void stopNode(int index);
    bool hasStopped(int index) const;

    small_node &node(int index);

    // Lets all run until `condition` holds; false if it does not in time.
    bool runUntil(const std::function<bool()> &condition);
    void runFor(duration time);

    // One request to a node over a new connection; status 0 if there was no reply.
    http_reply ask(int index, const std::string &method, const std::string &path,
                   const std::string &attemptId, int deadlineMs = 2000);

    // The answer of a node's directory.
    std::string directory(int index);

    // Writes a configuration of `version` that has the extra path prefix `extra`, if any.
    void configure(int version, const std::string &extra = "");

    // What the stand-ins run on, which `runFor` and `runUntil` drive.
    asio::any_io_executor executor() { return m_context.get_executor(); }

    // The loopback address with the last number `number`.
    std::string host(int number) const { return m_network + std::to_string(number); }

    endpoint storeAddress() const;

    // What node `index` is started with.
    platform::platform_settings settingsOf(int index) const;

    platform_store_stand_in &store() { return *m_store; }
    std::vector<std::unique_ptr<leaf_stand_in>> &leafs() { return m_leafs; }
    const std::vector<std::unique_ptr<leaf_stand_in>> &leafs() const { return m_leafs; }
    leaf_stand_in &leaf(const std::string &id);
    void write(const leaf_stand_in &leaf, const std::string &state = "ready");

private:
    void addLeaf(const std::string &service, int zone, const std::string &body);
    void pollAll();

    asio::io_context m_context { 1 };
    counters m_events;
    std::unique_ptr<platform_store_stand_in> m_store;
    std::unique_ptr<http_server> m_storeServer;
    std::vector<std::unique_ptr<leaf_stand_in>> m_leafs;
    std::vector<std::unique_ptr<http_server>> m_leafServers;
    std::map<int, std::unique_ptr<small_node>> m_nodes;
    std::string m_network; // "127.x.y."
};

} // namespace gooseberrymoor
