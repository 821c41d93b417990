#pragma once

#include "gooseberrymoor/operators/edit_command.h"

namespace gooseberrymoor {

// `version set`: changes the traffic share of a version, or blocks and unblocks it.
class version_command : public edit_command
{
public:
    std::string_view commandName() const override { return "version"; }

protected:
    tl::expected<configuration, std::string> edit(configuration before,
                                                  const command_arguments &arguments) override;
};

} // namespace gooseberrymoor
