#pragma once

#include "gooseberrymoor/operators/operator_command.h"

namespace gooseberrymoor {

// `settings check|list`: validates a node's settings file, or documents all settings.
class settings_command : public operator_command
{
public:
    std::string_view commandName() const override { return "settings"; }
    asio::awaitable<exit_code> run(command_arguments arguments) override;
};

} // namespace gooseberrymoor
