#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/operators/command_arguments.h"
#include "gooseberrymoor/operators/exit_code.h"

#include <string_view>

namespace gooseberrymoor {

// One command of operators, the first word of the command line. What it prints goes to standard
// output, errors to standard error.
class operator_command
{
public:
    virtual ~operator_command() = default;

    // The first word.
    virtual std::string_view word() const = 0;

    // Runs it once.
    virtual asio::awaitable<exit_code> run(command_arguments arguments) = 0;
};

} // namespace gooseberrymoor
