#include "gooseberrymoor/operators/sheet_command.h"

#include "gooseberrymoor/operators/sheet_applier.h"
#include "gooseberrymoor/operators/store_session.h"

#include <iostream>

namespace gooseberrymoor {

asio::awaitable<exit_code> sheet_command::run(command_arguments arguments)
{
    const auto text = arguments.fileText("FILE");
    auto session = store_session::open(arguments);
    if (!text || !session) {
        std::cerr << (text ? session.error() : text.error()) << "\n";
        co_return exit_code::bad_input;
    }
    sheet_applier commands(session->store(), arguments.text("--cell"), wallNow, std::cout,
                           arguments.has("--json"));
    if (arguments.has("apply"))
        co_return co_await commands.apply(*text);
    co_return co_await commands.check(*text);
}

} // namespace gooseberrymoor
