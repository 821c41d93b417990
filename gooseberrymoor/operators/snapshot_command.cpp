#include "gooseberrymoor/operators/snapshot_command.h"

#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_edit.h"

namespace gooseberrymoor {

tl::expected<configuration, std::string> snapshot_command::edit(configuration before,
                                                                const command_arguments &arguments)
{
    const std::string service = arguments.text("SERVICE");
    if (arguments.has("remove"))
        return removeSnapshot(std::move(before), service, arguments.text("SNAPSHOT"));
    const auto text = arguments.fileText("FILE");
    if (!text)
        return tl::unexpected(text.error());
    auto snapshot = decodeSnapshot(*text);
    if (!snapshot)
        return tl::unexpected(arguments.text("FILE") + ": " + snapshot.error());
    return addSnapshot(std::move(before), service, std::move(*snapshot));
}

} // namespace gooseberrymoor
