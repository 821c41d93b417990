#pragma once

#include "gooseberrymoor/operators/edit_command.h"

namespace gooseberrymoor {

// `version set`: the share of traffic of a version, and whether it gets any.
class version_command : public edit_command
{
public:
    std::string_view word() const override { return "version"; }

protected:
    tl::expected<configuration, std::string> edit(configuration before,
                                                  const command_arguments &arguments) override;
};

} // namespace gooseberrymoor
