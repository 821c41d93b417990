#include "gooseberrymoor/operators/sheet_command.h"

#include "gooseberrymoor/operators/sheet_commands.h"
#include "gooseberrymoor/operators/store_session.h"

#include <chrono>
#include <iostream>

namespace gooseberrymoor {

namespace {

wall_time wallNow()
{
    return std::chrono::time_point_cast<wall_time::duration>(std::chrono::system_clock::now());
}

} // namespace

asio::awaitable<exit_code> sheet_command::run(command_arguments arguments)
{
    const auto text = arguments.fileText("FILE");
    auto session = store_session::open(arguments);
    if (!text || !session) {
        std::cerr << (text ? session.error() : text.error()) << "\n";
        co_return exit_code::bad_input;
    }
    sheet_commands commands(session->store(), arguments.text("--cell"), wallNow, std::cout,
                            arguments.has("--json"));
    if (arguments.has("apply"))
        co_return co_await commands.apply(*text);
    co_return co_await commands.check(*text);
}

} // namespace gooseberrymoor
