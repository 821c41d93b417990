#include "small_site.h"

#include "gooseberrymoor/http/http_connection.h"
#include "platform/protocol_names.h"
#include "small_node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <unistd.h>

#include <stdexcept>
#include <thread>

namespace gooseberrymoor {

namespace json = boost::json;

namespace {

constexpr std::size_t max_body_bytes = 64 * 1024;
constexpr duration max_run_time { 15'000 };
constexpr std::uint16_t store_port = 24000;
constexpr std::uint16_t first_leaf_port = 24010;
constexpr std::uint16_t first_store_path_port = 24050;
constexpr std::uint16_t caller_port = 24100;
constexpr std::uint16_t directory_port = 24101;
constexpr std::uint16_t peer_port = 24102;
constexpr std::uint16_t readiness_port = 24103;
constexpr int first_node_host = 10;
constexpr duration stop_time { 1200 };

json::object routeOf(const std::string &name, const std::string &prefix, const std::string &kind)
{
    return { { "name", name },  { "host", "a.example" }, { "path_prefix", prefix },
             { "kind", kind },  { "timeout_ms", 2000 },  { "target_latency_ms", 400 },
             { "priority", 1 }, { "max_attempts", 2 } };
}

std::string configurationText(int version, const std::string &extra)
{
    json::object sweep = routeOf("sweep", "/sweep/", "safe");
    sweep["gather"] = { "s1", "s2" };
    sweep["top_k"] = 2;
    sweep["minimum_success_share"] = 0.5;
    json::object get = routeOf("get", "/get/", "safe");
    get["service"] = "single";
    json::object post = routeOf("post", "/post/", "unsafe");
    post["service"] = "single";
    json::array routes { sweep, get, post };
    if (!extra.empty()) {
        json::object added = routeOf("extra", extra, "safe");
        added["service"] = "single";
        routes.push_back(added);
    }
    json::array services;
    for (const char *name : { "s1", "s2", "single" })
        services.push_back({ { "name", name }, { "connection_limit", 30 } });
    const json::object body { { "version", version },
                              { "routes", std::move(routes) },
                              { "services", std::move(services) } };
    return json::serialize(body);
}

} // namespace

small_site::small_site(int zones)
{
    // Processes whose IDs differ by a multiple of 62,500 use the same network.
    const unsigned process = static_cast<unsigned>(getpid());
    m_network = "127." + std::to_string(1 + process / 250 % 250) + "."
        + std::to_string(1 + process % 250) + ".";
    m_store = std::make_unique<platform_store_stand_in>(m_context.get_executor());
    m_storeServer = std::make_unique<http_server>(m_context.get_executor(), *m_store, m_events,
                                                  max_body_bytes);
    if (const auto started = m_storeServer->start(storeAddress()); !started)
        throw std::runtime_error(started.error());
    const std::string lowBody(16, 'a');
    const std::string highBody(16, 'z');
    for (int zone = 0; zone < zones; ++zone) {
        addLeaf("s1", zone, lowBody + lowBody);
        addLeaf("s2", zone, highBody);
        addLeaf("single", zone, "single");
    }
}

small_site::~small_site() = default;

void small_site::addLeaf(const std::string &service, int zone, const std::string &body)
{
    const std::string zoneName(1, static_cast<char>('a' + zone));
    const auto port = static_cast<std::uint16_t>(first_leaf_port + m_leafs.size());
    auto leaf = std::make_unique<leaf_stand_in>(service + "-" + zoneName, service,
                                                endpoint { m_network + "1", port }, zoneName, body);
    auto server
        = std::make_unique<http_server>(m_context.get_executor(), *leaf, m_events, max_body_bytes);
    if (const auto started = server->start(leaf->address()); !started)
        throw std::runtime_error(started.error());
    write(*leaf);
    m_leafs.push_back(std::move(leaf));
    m_leafServers.push_back(std::move(server));
}

void small_site::write(leaf_stand_in &leaf, const std::string &state)
{
    m_store->put(platform::replica_prefix + leaf.id(), leaf.nextEntry(state));
}

void small_site::restoreStore(duration outage)
{
    m_store->setFaultMode(store_fault_mode::busy);
    runFor(outage);
    m_store->restoreCopy();
    m_store->setFaultMode(store_fault_mode::no_fault);
}

leaf_stand_in &small_site::leaf(const std::string &id)
{
    for (const auto &each : m_leafs) {
        if (each->id() == id)
            return *each;
    }
    throw std::out_of_range(id);
}

platform::platform_settings small_site::settingsOf(int index) const
{
    const std::string address = m_network + std::to_string(first_node_host + index);
    platform::platform_settings settings;
    settings.tier.own.name = "node-" + std::to_string(index);
    settings.tier.own.incarnation = 1;
    settings.tier.own.availabilityZone = std::string(1, static_cast<char>('a' + index % 2));
    settings.tier.own.callerAddress = { address, caller_port };
    settings.tier.own.peerAddress = { address, peer_port };
    settings.tier.fleetPrefix = platform::fleet_prefix;
    settings.tier.repeats = { 0.2, 60, duration(10'000) };
    settings.tier.stopTime = stop_time;
    settings.callerAddress = settings.tier.own.callerAddress;
    settings.directoryAddress = { address, directory_port };
    settings.readinessAddress = { address, readiness_port };
    settings.storeAddress = storeAddress();
    return settings;
}

void small_site::startNode(int index)
{
    openStorePath(index);
    platform::platform_settings settings = settingsOf(index);
    settings.storeAddress = storeAddressOf(index);
    m_nodes[index] = std::make_unique<small_node>(settings);
}

void small_site::openStorePath(int index)
{
    store_path &path = m_storePaths[index];
    if (path.handler)
        return;
    path.handler = std::make_unique<store_path_stand_in>(m_context.get_executor(), *m_store);
    path.server = std::make_unique<http_server>(m_context.get_executor(), *path.handler, m_events,
                                                max_body_bytes);
    if (const auto started = path.server->start(storeAddressOf(index)); !started)
        throw std::runtime_error(started.error());
}

void small_site::setCutFromStore(int index, bool cut)
{
    m_storePaths.at(index).handler->setCut(cut);
}

endpoint small_site::storeAddress() const
{
    return { host(1), store_port };
}

endpoint small_site::storeAddressOf(int index) const
{
    return { host(1), static_cast<std::uint16_t>(first_store_path_port + index) };
}

void small_site::killNode(int index)
{
    m_nodes.erase(index);
}

void small_site::stopNode(int index)
{
    node(index).stop();
}

bool small_site::hasStopped(int index) const
{
    return m_nodes.at(index)->hasStopped();
}

small_node &small_site::node(int index)
{
    return *m_nodes.at(index);
}

void small_site::pollAll()
{
    m_context.poll();
    for (auto &[index, each] : m_nodes)
        each->poll();
    std::this_thread::sleep_for(std::chrono::microseconds(200));
}

bool small_site::runUntil(const std::function<bool()> &condition)
{
    const time_point limit = millis_clock::now() + max_run_time;
    while (!condition()) {
        if (millis_clock::now() >= limit)
            return false;
        pollAll();
    }
    return true;
}

void small_site::runFor(duration time)
{
    const time_point until = millis_clock::now() + time;
    runUntil([until] { return millis_clock::now() >= until; });
}

void small_site::send(int index, const std::string &method, const std::string &path,
                      const std::string &attemptId, int deadlineMs,
                      std::function<void(http_reply)> done)
{
    http_request request(method, path);
    request.host = "a.example";
    request.headers = { { platform::attempt_id_field, attemptId },
                        { platform::deadline_field, std::to_string(deadlineMs) } };
    const endpoint address { m_network + std::to_string(first_node_host + index), caller_port };
    const time_point limit = millis_clock::now() + duration(deadlineMs + 1000);
    asio::co_spawn(m_context, exchangeOnce(address, std::move(request), limit),
                   [done = std::move(done)](std::exception_ptr,
                                            tl::expected<http_reply, http_failure> result) {
                       done(result ? std::move(*result) : http_reply(0, ""));
                   });
}

http_reply small_site::ask(int index, const std::string &method, const std::string &path,
                           const std::string &attemptId, int deadlineMs)
{
    http_reply reply(0, "");
    bool isDone = false;
    send(index, method, path, attemptId, deadlineMs, [&](http_reply received) {
        reply = std::move(received);
        isDone = true;
    });
    runUntil([&isDone] { return isDone; });
    return reply;
}

std::string small_site::directory(int index)
{
    http_request request("GET", "/resolution?name=a.example&region=r&zone=a");
    const endpoint address { m_network + std::to_string(first_node_host + index), directory_port };
    std::string body;
    bool done = false;
    asio::co_spawn(m_context,
                   exchangeOnce(address, std::move(request), millis_clock::now() + max_run_time),
                   [&](std::exception_ptr, tl::expected<http_reply, http_failure> result) {
                       if (result)
                           body = std::move(result->body);
                       done = true;
                   });
    runUntil([&done] { return done; });
    return body;
}

void small_site::configure(int version, const std::string &extra)
{
    m_store->put(platform::configuration_key, configurationText(version, extra));
}

} // namespace gooseberrymoor
