#include "gooseberrymoor/operators/edit_command.h"

#include "gooseberrymoor/configuration/configuration_change.h"
#include "gooseberrymoor/configuration/configuration_edit.h"
#include "gooseberrymoor/operators/fleet_status.h"
#include "gooseberrymoor/operators/store_session.h"

#include <boost/json.hpp>

#include <array>
#include <iostream>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

constexpr std::array command_words { "service",  "target", "limits",  "version", "snapshot",
                                     "zone",     "put",    "remove",  "add",     "leave",
                                     "return",   "set",    "out",     "in",      "SERVICE",
                                     "GROUP",    "NAME",   "VERSION", "ZONE",    "ADDRESS",
                                     "SNAPSHOT", "FILE" };
constexpr std::array command_options { "--slots", "--connections", "--cold-slots", "--warmup-ms",
                                       "--share", "--block",       "--unblock" };

exit_code printError(exit_code code, const std::string &text)
{
    std::cerr << text << "\n";
    return code;
}

std::string adviceFor(change_state state)
{
    switch (state) {
    case change_state::accepted:
        return "";
    case change_state::conflict:
        return "check the other change, then try again";
    case change_state::not_accepted:
        return "the change was not made and will not take effect: try again";
    case change_state::unknown:
        return "the change may have taken effect, or may do so later: check the service once the "
               "store answers, before you try again";
    }
    return "";
}

std::string formatResult(const change_result &result)
{
    std::string line = std::string(nameOf(result.state));
    if (result.revision > 0)
        line += " revision " + std::to_string(result.revision);
    if (!result.detail.empty())
        line += " " + result.detail;
    return line;
}

void printJson(const change_result &result, const fleet_status &fleet)
{
    const json::object document { { "state", nameOf(result.state) },
                                  { "revision", result.revision },
                                  { "detail", result.detail },
                                  { "nodes", fleet.answeredCount() },
                                  { "in_force", fleet.activeCount(result.revision) } };
    std::cout << json::serialize(document) << "\n";
}

asio::awaitable<fleet_status> waitForFleet(store_session &session, const change_result &result,
                                           std::int64_t waitMs)
{
    fleet_status fleet;
    if (result.state != change_state::accepted)
        co_return fleet;
    const auto view = co_await session.loadView();
    if (view)
        fleet = co_await waitUntilActive(*view, result.revision, waitMs);
    co_return fleet;
}

exit_code report(const command_arguments &arguments, const change_result &result,
                 const fleet_status &fleet)
{
    if (arguments.has("--json")) {
        printJson(result, fleet);
        return exitCodeOf(result);
    }
    if (result.state == change_state::accepted) {
        std::cout << formatResult(result) << ", " << fleet.summary(result.revision) << "\n";
        return exitCodeOf(result);
    }
    std::cout << formatResult(result) << "\n";
    std::cerr << adviceFor(result.state) << "\n";
    return exitCodeOf(result);
}

} // namespace

asio::awaitable<exit_code> edit_command::run(command_arguments arguments)
{
    const auto waitMs = arguments.number("--wait-ms");
    if (!waitMs)
        co_return printError(exit_code::bad_input, waitMs.error());
    auto session = store_session::open(arguments);
    if (!session)
        co_return printError(exit_code::bad_input, session.error());
    const std::string replaced = replacedKey(*session, arguments);
    const auto before = co_await session->load(replaced);
    if (!before)
        co_return printError(exit_code::failed, before.error());
    const std::string listed = listing(*before, arguments);
    if (!listed.empty()) {
        std::cout << listed << "\n";
        co_return exit_code::done;
    }
    const auto after = edit(*before, arguments);
    if (!after)
        co_return printError(exit_code::bad_input, after.error());
    auto change = changeBetween(*before, *after, session->keys(), describeCommand(arguments));
    if (!change)
        co_return printError(exit_code::bad_input, change.error());
    if (!replaced.empty() && change->puts.empty())
        change->deletes = { replaced };
    if (change->puts.empty() && change->deletes.empty()) {
        std::cout << "unchanged revision " << before->revision << "\n";
        co_return exit_code::done;
    }
    const auto result = co_await session->write(before->revision, std::move(*change));
    const auto fleet = co_await waitForFleet(*session, result, waitMs->value_or(0));
    co_return report(arguments, result, fleet);
}

std::string edit_command::replacedKey(const store_session &, const command_arguments &)
{
    return "";
}

std::string edit_command::listing(const configuration &, const command_arguments &)
{
    return "";
}

std::string describeCommand(const command_arguments &arguments)
{
    std::string line;
    for (const std::string word : command_words) {
        if (!arguments.has(word))
            continue;
        const std::string value = arguments.text(word);
        line += (line.empty() ? "" : " ") + (value.empty() ? word : value);
    }
    for (const std::string option : command_options) {
        if (!arguments.has(option))
            continue;
        const std::string value = arguments.text(option);
        line += " " + option + (value.empty() ? "" : "=" + value);
    }
    return line;
}

exit_code exitCodeOf(const change_result &result)
{
    switch (result.state) {
    case change_state::accepted:
        return exit_code::done;
    case change_state::conflict:
        return exit_code::conflict;
    case change_state::unknown:
        return exit_code::unknown;
    case change_state::not_accepted:
        return exit_code::failed;
    }
    return exit_code::failed;
}

} // namespace gooseberrymoor
