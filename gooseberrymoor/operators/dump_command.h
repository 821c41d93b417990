#pragma once

#include "gooseberrymoor/operators/operator_command.h"

namespace gooseberrymoor {

// `dump`: prints the complete state of one node.
class dump_command : public operator_command
{
public:
    std::string_view commandName() const override { return "dump"; }
    asio::awaitable<exit_code> run(command_arguments arguments) override;
};

} // namespace gooseberrymoor
