#pragma once

#include "gooseberrymoor/operators/edit_command.h"

namespace gooseberrymoor {

// `target add|remove|leave|return`: changes the targets of a service.
class target_command : public edit_command
{
public:
    std::string_view commandName() const override { return "target"; }

protected:
    tl::expected<configuration, std::string> edit(configuration before,
                                                  const command_arguments &arguments) override;
};

} // namespace gooseberrymoor
