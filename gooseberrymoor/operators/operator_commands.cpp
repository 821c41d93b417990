#include "gooseberrymoor/operators/operator_commands.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_follower.h"
#include "gooseberrymoor/configuration/configuration_writer.h"
#include "gooseberrymoor/configuration/service_config.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/operators/moves_commands.h"
#include "gooseberrymoor/operators/sheet_commands.h"
#include "gooseberrymoor/store/etcd_store.h"

#include <boost/asio/io_context.hpp>
#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace gooseberrymoor {

namespace {

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;
constexpr int exit_conflict = 3;
constexpr int exit_unknown = 4;
constexpr duration call_timeout { 3000 };

using arguments_map = std::map<std::string, docopt::value>;

// Runs one task to its end on an executor of its own.
template <typename Task> int runToEnd(Task task)
{
    asio::io_context context(1);
    int code = exit_failed;
    asio::co_spawn(context, std::move(task), [&code](std::exception_ptr failure, int result) {
        if (!failure)
            code = result;
    });
    context.run();
    return code;
}

int report(const change_result &result)
{
    std::cout << nameOf(result.state) << " revision " << result.revision;
    if (!result.detail.empty())
        std::cout << " " << result.detail;
    std::cout << "\n";
    switch (result.state) {
    case change_state::accepted:
        return exit_done;
    case change_state::conflict:
        return exit_conflict;
    case change_state::unknown:
        return exit_unknown;
    case change_state::not_accepted:
        return exit_failed;
    }
    return exit_failed;
}

std::vector<store_put> putsFor(const configuration_keys &keys, const service_config &service)
{
    return { { keys.service(service.name), encodeService(service), 0 } };
}

asio::awaitable<int> putService(endpoint storeAddress, std::string cell, std::string text)
{
    const auto service = decodeService(text);
    if (!service) {
        std::cerr << "the service is not valid: " << service.error() << "\n";
        co_return exit_bad_input;
    }
    counters events;
    etcd_store store({ storeAddress }, call_timeout, events);
    const configuration_keys keys(cell);
    const auto read = co_await store.readPrefix(keys.root());
    if (!read) {
        std::cerr << "the store cannot be read: " << read.error().detail << "\n";
        co_return exit_failed;
    }
    const auto current = configurationFrom(*read, keys);
    if (!current) {
        std::cerr << "the configuration is malformed: " << current.error() << "\n";
        co_return exit_failed;
    }
    configuration_writer writer(store, keys, "operator");
    co_return report(co_await writer.write(current->revision, putsFor(keys, *service)));
}

asio::awaitable<int> dumpNode(endpoint node)
{
    http_request request("GET", "/v1/dump");
    const auto reply
        = co_await exchangeOnce(node, std::move(request), millis_clock::now() + call_timeout);
    if (!reply) {
        std::cerr << "the node does not answer: " << reply.error().reason << "\n";
        co_return exit_failed;
    }
    std::cout << reply->body << "\n";
    co_return exit_done;
}

constexpr duration follow_poll { 1000 };

wall_time wallNow()
{
    return std::chrono::time_point_cast<wall_time::duration>(std::chrono::system_clock::now());
}

asio::awaitable<int> runSheet(endpoint storeAddress, std::string cell, std::string text, bool apply,
                              bool json)
{
    counters events;
    etcd_store store({ storeAddress }, call_timeout, events);
    sheet_commands commands(store, std::move(cell), wallNow, std::cout, json);
    if (apply)
        co_return static_cast<int>(co_await commands.apply(std::move(text)));
    co_return static_cast<int>(co_await commands.check(std::move(text)));
}

asio::awaitable<int> runMoves(endpoint storeAddress, std::string cell, bool follow, std::string id,
                              bool json)
{
    counters events;
    etcd_store store({ storeAddress }, call_timeout, events);
    moves_commands commands(store, std::move(cell), std::cout, json);
    if (follow)
        co_return static_cast<int>(co_await commands.follow(std::move(id), follow_poll));
    co_return static_cast<int>(co_await commands.list());
}

std::optional<endpoint> endpointArgument(const arguments_map &arguments, const std::string &name)
{
    const std::string text = arguments.at(name).asString();
    const auto parsed = parseEndpoint(text);
    if (!parsed)
        std::cerr << name << ": \"" << text << "\" is no IP number with a port\n";
    return parsed;
}

} // namespace

const std::string &operatorUsage()
{
    static const std::string usage = R"(gooseberrymoor: operate a query tier.

Usage:
  gooseberrymoor service put FILE --store=ADDRESS [--cell=NAME]
  gooseberrymoor sheet (check | apply) FILE --store=ADDRESS [--cell=NAME] [--json]
  gooseberrymoor moves list --store=ADDRESS [--cell=NAME] [--json]
  gooseberrymoor moves follow [ID] --store=ADDRESS [--cell=NAME] [--json]
  gooseberrymoor dump --node=ADDRESS
  gooseberrymoor --help

Options:
  --store=ADDRESS  Address of the platform's key-value service, as IP:PORT.
  --cell=NAME      Cell that is meant [default: main].
  --node=ADDRESS   Entry address of a node, as IP:PORT.
  --json           Print JSON in place of text.
  --help           Show this text.

Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with another change, 4 outcome unknown.
)";
    return usage;
}

int runOperatorCommand(const arguments_map &arguments)
{
    if (arguments.at("dump").asBool()) {
        const auto node = endpointArgument(arguments, "--node");
        return node ? runToEnd(dumpNode(*node)) : exit_bad_input;
    }
    const auto store = endpointArgument(arguments, "--store");
    if (!store)
        return exit_bad_input;
    const std::string cell = arguments.at("--cell").asString();
    const bool json = arguments.at("--json").asBool();
    if (arguments.at("moves").asBool()) {
        const docopt::value &id = arguments.at("ID");
        return runToEnd(runMoves(*store, cell, arguments.at("follow").asBool(),
                                 id ? id.asString() : std::string(), json));
    }
    std::ifstream file(arguments.at("FILE").asString());
    if (!file) {
        std::cerr << arguments.at("FILE").asString() << ": cannot be read\n";
        return exit_bad_input;
    }
    std::ostringstream text;
    text << file.rdbuf();
    if (arguments.at("sheet").asBool())
        return runToEnd(runSheet(*store, cell, text.str(), arguments.at("apply").asBool(), json));
    return runToEnd(putService(*store, cell, text.str()));
}

} // namespace gooseberrymoor
