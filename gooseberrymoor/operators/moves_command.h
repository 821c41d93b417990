#pragma once

#include "gooseberrymoor/operators/operator_command.h"

namespace gooseberrymoor {

// `moves list|follow`: shows the progress of planned moves.
class moves_command : public operator_command
{
public:
    std::string_view commandName() const override { return "moves"; }
    asio::awaitable<exit_code> run(command_arguments arguments) override;
};

} // namespace gooseberrymoor
