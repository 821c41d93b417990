#include "gooseberrymoor/operators/fleet_status.h"

#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/membership/cell_view.h"

#include <boost/json.hpp>

#include <algorithm>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

constexpr duration dump_timeout { 1000 };
constexpr duration poll_interval { 100 };
constexpr unsigned http_ok = 200;

void parseDump(node_status &status, const std::string &dump)
{
    try {
        const json::object document = json::parse(dump).as_object();
        const json::object &configuration = document.at("configuration").as_object();
        status.phase = std::string(document.at("phase").as_string());
        status.revision = configuration.at("revision").to_number<std::int64_t>();
        if (const json::value *rejectionReason = configuration.if_contains("fault"))
            status.rejectionReason = std::string(rejectionReason->as_string());
        status.answered = true;
    } catch (const std::exception &error) {
        status.phase = std::string("no dump: ") + error.what();
    }
}

asio::awaitable<node_status> queryNode(std::string name, endpoint address)
{
    node_status status;
    status.name = std::move(name);
    status.entryAddress = address;
    status.phase = "no answer";
    http_request request("GET", "/v1/dump");
    const auto reply
        = co_await exchangeOnce(address, std::move(request), millis_clock::now() + dump_timeout);
    if (reply && reply->status == http_ok)
        parseDump(status, reply->body);
    co_return status;
}

} // namespace

std::size_t fleet_status::answeredCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(nodes, &node_status::answered));
}

std::size_t fleet_status::activeCount(std::int64_t revision) const
{
    return static_cast<std::size_t>(std::ranges::count_if(nodes, [&](const node_status &each) {
        return each.answered && each.revision >= revision;
    }));
}

std::string fleet_status::summary(std::int64_t revision) const
{
    std::string line = "in force at " + std::to_string(activeCount(revision)) + " of "
        + std::to_string(answeredCount()) + " nodes";
    if (answeredCount() < nodes.size())
        line += "; " + std::to_string(nodes.size() - answeredCount()) + " did not answer";
    return line;
}

asio::awaitable<fleet_status> queryFleet(cell_view view)
{
    fleet_status fleet;
    for (const member &each : view.members)
        fleet.nodes.push_back(co_await queryNode(each.name, each.entryAddress));
    co_return fleet;
}

asio::awaitable<fleet_status> waitUntilActive(cell_view view, std::int64_t revision,
                                              std::int64_t maxWaitMs)
{
    const time_point deadline = millis_clock::now() + duration(maxWaitMs);
    fleet_status fleet = co_await queryFleet(view);
    while (fleet.activeCount(revision) < fleet.answeredCount() && millis_clock::now() < deadline) {
        timer pause(co_await asio::this_coro::executor, millis_clock::now() + poll_interval);
        co_await pause.async_wait(as_result);
        fleet = co_await queryFleet(view);
    }
    co_return fleet;
}

} // namespace gooseberrymoor
