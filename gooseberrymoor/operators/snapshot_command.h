#pragma once

#include "gooseberrymoor/operators/edit_command.h"

namespace gooseberrymoor {

// `snapshot add|remove`: changes the list of index snapshots of a service.
class snapshot_command : public edit_command
{
public:
    std::string_view commandName() const override { return "snapshot"; }

protected:
    tl::expected<configuration, std::string> edit(configuration before,
                                                  const command_arguments &arguments) override;
};

} // namespace gooseberrymoor
