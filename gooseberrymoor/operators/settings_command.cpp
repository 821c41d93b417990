#include "gooseberrymoor/operators/settings_command.h"

#include "gooseberrymoor/settings/node_settings.h"
#include "gooseberrymoor/settings/settings_page.h"
#include <iostream>

namespace gooseberrymoor {

namespace {

exit_code printError(const std::string &text)
{
    std::cerr << text << "\n";
    return exit_code::bad_input;
}

} // namespace

asio::awaitable<exit_code> settings_command::run(command_arguments arguments)
{
    if (arguments.has("list")) {
        std::cout << settingsPage();
        co_return exit_code::done;
    }
    const auto settings = readNodeSettings(arguments.text("FILE"));
    if (!settings)
        co_return printError(settings.error().text());
    std::cout << "settings of node " << settings->name << " are valid\n";
    co_return exit_code::done;
}

} // namespace gooseberrymoor
