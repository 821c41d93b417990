#pragma once

#include "gooseberrymoor/operators/edit_command.h"

namespace gooseberrymoor {

// `service list|show|put|remove`: lists, shows, replaces and removes services.
class service_command : public edit_command
{
public:
    std::string_view commandName() const override { return "service"; }

protected:
    tl::expected<configuration, std::string> edit(configuration before,
                                                  const command_arguments &arguments) override;
    std::string replacedKey(const store_session &session,
                            const command_arguments &arguments) override;
    std::string listing(const configuration &current, const command_arguments &arguments) override;
};

} // namespace gooseberrymoor
