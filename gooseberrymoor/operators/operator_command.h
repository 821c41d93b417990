#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/operators/command_arguments.h"
#include "gooseberrymoor/operators/exit_code.h"

#include <string_view>

namespace gooseberrymoor {

// A command of the operators' tool. Results go to standard output, errors to standard error.
class operator_command
{
public:
    virtual ~operator_command() = default;

    // The first word of its command line, such as "service".
    virtual std::string_view commandName() const = 0;

    // Runs the command once and returns its exit code.
    virtual asio::awaitable<exit_code> run(command_arguments arguments) = 0;
};

} // namespace gooseberrymoor
