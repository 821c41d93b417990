#pragma once

#include "gooseberrymoor/operators/operator_command.h"

namespace gooseberrymoor {

// `status`: shows the active configuration revision of each node.
class status_command : public operator_command
{
public:
    std::string_view commandName() const override { return "status"; }
    asio::awaitable<exit_code> run(command_arguments arguments) override;
};

} // namespace gooseberrymoor
