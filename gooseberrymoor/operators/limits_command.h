#pragma once

#include "gooseberrymoor/operators/edit_command.h"

namespace gooseberrymoor {

// `limits set`: changes the per-target limits of a service.
class limits_command : public edit_command
{
public:
    std::string_view commandName() const override { return "limits"; }

protected:
    tl::expected<configuration, std::string> edit(configuration before,
                                                  const command_arguments &arguments) override;
};

} // namespace gooseberrymoor
