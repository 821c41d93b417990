#include "gooseberrymoor/operators/moves_command.h"

#include "gooseberrymoor/operators/move_reporter.h"
#include "gooseberrymoor/operators/store_session.h"

#include <iostream>

namespace gooseberrymoor {

namespace {

constexpr duration follow_poll_interval { 1000 };

} // namespace

asio::awaitable<exit_code> moves_command::run(command_arguments arguments)
{
    auto session = store_session::open(arguments);
    if (!session) {
        std::cerr << session.error() << "\n";
        co_return exit_code::bad_input;
    }
    move_reporter commands(session->store(), arguments.text("--cell"), std::cout,
                           arguments.has("--json"));
    if (arguments.has("follow"))
        co_return co_await commands.follow(arguments.text("ID"), follow_poll_interval);
    co_return co_await commands.list();
}

} // namespace gooseberrymoor
