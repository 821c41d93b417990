#include "gooseberrymoor/operators/status_command.h"

#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/operators/fleet_status.h"
#include "gooseberrymoor/operators/store_session.h"
#include <algorithm>
#include <boost/json.hpp>
#include <iostream>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

constexpr duration dump_timeout { 3000 };

// The members to query, and the newest revision known so far.
struct known_fleet
{
    cell_view view;
    std::int64_t revision = 0;
};

exit_code printError(exit_code code, const std::string &text)
{
    std::cerr << text << "\n";
    return code;
}

asio::awaitable<tl::expected<known_fleet, std::string>> fleetFromStore(store_session &session)
{
    known_fleet known;
    const auto current = co_await session.load();
    if (!current)
        co_return tl::unexpected(current.error());
    auto view = co_await session.loadView();
    if (!view)
        co_return tl::unexpected(view.error());
    known.revision = current->revision;
    known.view = std::move(*view);
    co_return known;
}

tl::expected<known_fleet, std::string> fleetFromDump(const std::string &dump)
{
    try {
        known_fleet known;
        const json::object document = json::parse(dump).as_object();
        for (const json::value &row : document.at("view").at("members").as_array()) {
            member each;
            each.name = std::string(row.at("name").as_string());
            const auto address
                = parseEndpoint(std::string_view(row.at("entry_address").as_string()));
            if (address)
                each.entryAddress = *address;
            known.view.put(each);
        }
        return known;
    } catch (const std::exception &error) {
        return tl::unexpected(std::string("malformed dump: ") + error.what());
    }
}

// Reads the members from the dump of `node`, which works while the store is down.
asio::awaitable<tl::expected<known_fleet, std::string>> fleetFromNode(endpoint node)
{
    http_request request("GET", "/v1/dump");
    const auto reply
        = co_await exchangeOnce(node, std::move(request), millis_clock::now() + dump_timeout);
    if (!reply)
        co_return tl::unexpected("node " + toString(node)
                                 + " does not answer: " + reply.error().reason);
    co_return fleetFromDump(reply->body);
}

void print(bool asJson, std::int64_t newestRevision, const fleet_status &fleet)
{
    json::array rows;
    for (const node_status &each : fleet.nodes) {
        rows.push_back(json::object { { "node", each.name },
                                      { "entry_address", toString(each.entryAddress) },
                                      { "answered", each.answered },
                                      { "phase", each.phase },
                                      { "revision", each.revision },
                                      { "fault", each.rejectionReason } });
        if (!asJson) {
            std::cout << each.name << " " << toString(each.entryAddress) << " " << each.phase
                      << " revision " << each.revision
                      << (each.rejectionReason.empty() ? "" : " refused: ") << each.rejectionReason
                      << "\n";
        }
    }
    if (asJson) {
        std::cout << json::serialize(
            json::object { { "revision", newestRevision },
                           { "nodes", fleet.answeredCount() },
                           { "in_force", fleet.activeCount(newestRevision) },
                           { "members", rows } })
                  << "\n";
        return;
    }
    std::cout << "revision " << newestRevision << " " << fleet.summary(newestRevision) << "\n";
}

} // namespace

asio::awaitable<exit_code> status_command::run(command_arguments arguments)
{
    known_fleet known;
    if (arguments.has("--node")) {
        const auto node = arguments.address("--node");
        if (!node)
            co_return printError(exit_code::bad_input, node.error());
        auto found = co_await fleetFromNode(*node);
        if (!found)
            co_return printError(exit_code::failed, found.error());
        known = std::move(*found);
    } else {
        auto session = store_session::open(arguments);
        if (!session)
            co_return printError(exit_code::bad_input, session.error());
        auto found = co_await fleetFromStore(*session);
        if (!found)
            co_return printError(exit_code::failed, found.error());
        known = std::move(*found);
    }
    const fleet_status fleet = co_await queryFleet(known.view);
    std::int64_t newestRevision = known.revision;
    for (const node_status &each : fleet.nodes)
        newestRevision = std::max(newestRevision, each.revision);
    print(arguments.has("--json"), newestRevision, fleet);
    co_return fleet.activeCount(newestRevision) == fleet.nodes.size() ? exit_code::done
                                                                      : exit_code::failed;
}

} // namespace gooseberrymoor
