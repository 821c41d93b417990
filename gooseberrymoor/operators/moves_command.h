#pragma once

#include "gooseberrymoor/operators/operator_command.h"

namespace gooseberrymoor {

// `moves list|follow`: how planned moves go on.
class moves_command : public operator_command
{
public:
    std::string_view word() const override { return "moves"; }
    asio::awaitable<exit_code> run(command_arguments arguments) override;
};

} // namespace gooseberrymoor
