#pragma once

#include "gooseberrymoor/operators/operator_command.h"

namespace gooseberrymoor {

// `sheet check|apply`: the planners' sheet.
class sheet_command : public operator_command
{
public:
    std::string_view word() const override { return "sheet"; }
    asio::awaitable<exit_code> run(command_arguments arguments) override;
};

} // namespace gooseberrymoor
