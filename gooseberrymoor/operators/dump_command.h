#pragma once

#include "gooseberrymoor/operators/operator_command.h"

namespace gooseberrymoor {

// `dump`: the whole state of one node.
class dump_command : public operator_command
{
public:
    std::string_view word() const override { return "dump"; }
    asio::awaitable<exit_code> run(command_arguments arguments) override;
};

} // namespace gooseberrymoor
