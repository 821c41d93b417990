#include "gooseberrymoor/operators/command_line.h"

#include "gooseberrymoor/operators/dump_command.h"
#include "gooseberrymoor/operators/limits_command.h"
#include "gooseberrymoor/operators/moves_command.h"
#include "gooseberrymoor/operators/service_command.h"
#include "gooseberrymoor/operators/settings_command.h"
#include "gooseberrymoor/operators/sheet_command.h"
#include "gooseberrymoor/operators/snapshot_command.h"
#include "gooseberrymoor/operators/status_command.h"
#include "gooseberrymoor/operators/target_command.h"
#include "gooseberrymoor/operators/version_command.h"
#include "gooseberrymoor/operators/zone_command.h"

#include <boost/asio/io_context.hpp>
#include <docopt/docopt.h>

#include <iostream>
#include <memory>
#include <vector>

namespace gooseberrymoor {

namespace {

using command_list = std::vector<std::unique_ptr<operator_command>>;

// A new command must be added here and to the usage text.
command_list allCommands()
{
    command_list commands;
    commands.push_back(std::make_unique<settings_command>());
    commands.push_back(std::make_unique<service_command>());
    commands.push_back(std::make_unique<target_command>());
    commands.push_back(std::make_unique<limits_command>());
    commands.push_back(std::make_unique<version_command>());
    commands.push_back(std::make_unique<snapshot_command>());
    commands.push_back(std::make_unique<zone_command>());
    commands.push_back(std::make_unique<sheet_command>());
    commands.push_back(std::make_unique<moves_command>());
    commands.push_back(std::make_unique<status_command>());
    commands.push_back(std::make_unique<dump_command>());
    return commands;
}

// Runs `command` to completion on its own io_context.
exit_code runToCompletion(operator_command &command, const command_arguments &arguments)
{
    asio::io_context context(1);
    exit_code code = exit_code::failed;
    asio::co_spawn(context, command.run(arguments),
                   [&](std::exception_ptr failure, exit_code result) {
                       if (!failure) {
                           code = result;
                           return;
                       }
                       try {
                           std::rethrow_exception(failure);
                       } catch (const std::exception &error) {
                           std::cerr << "failed: " << error.what() << "\n";
                       }
                   });
    context.run();
    return code;
}

} // namespace

const std::string &operatorUsage()
{
    static const std::string usage = R"(gooseberrymoor: operate a query tier.

Usage:
  gooseberrymoor settings check FILE
  gooseberrymoor settings list
  gooseberrymoor service list --store=ADDRESSES [options]
  gooseberrymoor service show NAME --store=ADDRESSES [options]
  gooseberrymoor service put FILE --store=ADDRESSES [options]
  gooseberrymoor service remove NAME --store=ADDRESSES [options]
  gooseberrymoor target add SERVICE GROUP NAME ADDRESS ZONE VERSION --store=ADDRESSES [options]
  gooseberrymoor target remove SERVICE NAME --store=ADDRESSES [options]
  gooseberrymoor target leave SERVICE NAME --store=ADDRESSES [options]
  gooseberrymoor target return SERVICE NAME --store=ADDRESSES [options]
  gooseberrymoor limits set SERVICE --store=ADDRESSES [--slots=N] [--connections=N] [--cold-slots=N] [--warmup-ms=N] [options]
  gooseberrymoor version set SERVICE VERSION --store=ADDRESSES [--share=PERMILLE] [--block | --unblock] [options]
  gooseberrymoor snapshot add SERVICE FILE --store=ADDRESSES [options]
  gooseberrymoor snapshot remove SERVICE SNAPSHOT --store=ADDRESSES [options]
  gooseberrymoor zone out ZONE --store=ADDRESSES [options]
  gooseberrymoor zone in ZONE --store=ADDRESSES [options]
  gooseberrymoor zone list --store=ADDRESSES [options]
  gooseberrymoor sheet (check | apply) FILE --store=ADDRESSES [options]
  gooseberrymoor moves list --store=ADDRESSES [options]
  gooseberrymoor moves follow [ID] --store=ADDRESSES [options]
  gooseberrymoor status --store=ADDRESSES [options]
  gooseberrymoor status --node=ADDRESS [options]
  gooseberrymoor dump --node=ADDRESS
  gooseberrymoor --help

Options:
  --store=ADDRESSES  Addresses of the platform's key-value service, as IP:PORT,IP:PORT.
  --cell=NAME        Cell that is meant [default: main].
  --author=NAME      Who makes the change, shown to other operators [default: operator].
  --node=ADDRESS     Entry address of a node, as IP:PORT.
  --wait-ms=N        How long a change waits until all nodes have it in force [default: 5000].
  --json             Print JSON for programs.
  --slots=N          Requests that a warm target may be given at one time.
  --connections=N    Open connections to a target.
  --cold-slots=N     Requests that a target in a cold start may be given at one time.
  --warmup-ms=N      Time from cold to warm under answers in time.
  --share=PERMILLE   Share of the service's traffic for a version, 0 to 1000.
  --block            Give the version nothing.
  --unblock          Give the version its share again.
  --help             Show this text.

Exit codes: 0 done, 1 failed and surely not taken, 2 bad input, 3 conflict with another change,
4 outcome unknown: the change may be in force, now or later. `status` exits with 1 if a member does
not answer or has an older revision in force.
)";
    return usage;
}

int runOperatorCommand(const std::map<std::string, docopt::value> &arguments)
{
    const command_arguments parsedArguments(arguments);
    for (const auto &command : allCommands()) {
        if (parsedArguments.has(std::string(command->commandName())))
            return static_cast<int>(runToCompletion(*command, parsedArguments));
    }
    return static_cast<int>(exit_code::bad_input);
}

} // namespace gooseberrymoor
