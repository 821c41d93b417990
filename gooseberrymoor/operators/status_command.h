#pragma once

#include "gooseberrymoor/operators/operator_command.h"

namespace gooseberrymoor {

// `status`: which revision each node has in force.
class status_command : public operator_command
{
public:
    std::string_view word() const override { return "status"; }
    asio::awaitable<exit_code> run(command_arguments arguments) override;
};

} // namespace gooseberrymoor
