#include "gooseberrymoor/operators/version_command.h"

#include "gooseberrymoor/configuration/configuration_edit.h"

namespace gooseberrymoor {

tl::expected<configuration, std::string> version_command::edit(configuration before,
                                                               const command_arguments &arguments)
{
    const auto share = arguments.number("--share");
    if (!share)
        return tl::unexpected(share.error());
    std::optional<bool> blocked;
    if (arguments.has("--block") || arguments.has("--unblock"))
        blocked = arguments.has("--block");
    return setVersion(std::move(before), arguments.text("SERVICE"), arguments.text("VERSION"),
                      *share, blocked);
}

} // namespace gooseberrymoor
