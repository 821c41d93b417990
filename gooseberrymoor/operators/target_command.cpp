#include "gooseberrymoor/operators/target_command.h"

#include "gooseberrymoor/configuration/configuration_edit.h"

namespace gooseberrymoor {

tl::expected<configuration, std::string> target_command::edit(configuration before,
                                                              const command_arguments &arguments)
{
    const std::string service = arguments.text("SERVICE");
    const std::string name = arguments.text("NAME");
    if (arguments.has("remove"))
        return removeTarget(std::move(before), service, name);
    if (arguments.has("leave"))
        return setLeaving(std::move(before), service, name, true);
    if (arguments.has("return"))
        return setLeaving(std::move(before), service, name, false);
    const auto address = arguments.address("ADDRESS");
    if (!address)
        return tl::unexpected(address.error());
    const target_config target { name, *address, arguments.text("ZONE"), arguments.text("VERSION"),
                                 false };
    return addTarget(std::move(before), service, arguments.text("GROUP"), target);
}

} // namespace gooseberrymoor
