#include "gooseberrymoor/operators/dump_command.h"

#include "gooseberrymoor/http/http_connection.h"
#include <iostream>

namespace gooseberrymoor {

namespace {

constexpr duration dump_timeout { 3000 };

} // namespace

asio::awaitable<exit_code> dump_command::run(command_arguments arguments)
{
    const auto node = arguments.address("--node");
    if (!node) {
        std::cerr << node.error() << "\n";
        co_return exit_code::bad_input;
    }
    http_request request("GET", "/v1/dump");
    const auto reply
        = co_await exchangeOnce(*node, std::move(request), millis_clock::now() + dump_timeout);
    if (!reply) {
        std::cerr << "node " << toString(*node) << " does not answer: " << reply.error().reason
                  << "\n";
        co_return exit_code::failed;
    }
    std::cout << reply->body << "\n";
    co_return exit_code::done;
}

} // namespace gooseberrymoor
