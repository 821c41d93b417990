#pragma once

#include "gooseberrymoor/operators/operator_command.h"

namespace gooseberrymoor {

// `settings check|list`: settings files of nodes.
class settings_command : public operator_command
{
public:
    std::string_view word() const override { return "settings"; }
    asio::awaitable<exit_code> run(command_arguments arguments) override;
};

} // namespace gooseberrymoor
