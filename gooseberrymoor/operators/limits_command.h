#pragma once

#include "gooseberrymoor/operators/edit_command.h"

namespace gooseberrymoor {

// `limits set`: what each target of a service may be given.
class limits_command : public edit_command
{
public:
    std::string_view word() const override { return "limits"; }

protected:
    tl::expected<configuration, std::string> edit(configuration before,
                                                  const command_arguments &arguments) override;
};

} // namespace gooseberrymoor
