#pragma once

#include "gooseberrymoor/operators/edit_command.h"

namespace gooseberrymoor {

// `zone out|in|list`: takes availability zones out of service and back in.
class zone_command : public edit_command
{
public:
    std::string_view commandName() const override { return "zone"; }

protected:
    tl::expected<configuration, std::string> edit(configuration before,
                                                  const command_arguments &arguments) override;
    std::string listing(const configuration &current, const command_arguments &arguments) override;
};

} // namespace gooseberrymoor
