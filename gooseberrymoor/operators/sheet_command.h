#pragma once

#include "gooseberrymoor/operators/operator_command.h"

namespace gooseberrymoor {

// `sheet check|apply`: validates or applies a sheet of planned moves.
class sheet_command : public operator_command
{
public:
    std::string_view commandName() const override { return "sheet"; }
    asio::awaitable<exit_code> run(command_arguments arguments) override;
};

} // namespace gooseberrymoor
