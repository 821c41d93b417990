#include "gooseberrymoor/operators/limits_command.h"

#include "gooseberrymoor/configuration/configuration_edit.h"
#include "gooseberrymoor/configuration/limits_edit.h"

namespace gooseberrymoor {

tl::expected<configuration, std::string> limits_command::edit(configuration before,
                                                              const command_arguments &arguments)
{
    limits_edit changes;
    const std::pair<const char *, std::optional<std::int64_t> *> options[] {
        { "--slots", &changes.slots },
        { "--connections", &changes.connections },
        { "--cold-slots", &changes.coldSlots },
        { "--warmup-ms", &changes.warmupMs },
    };
    for (const auto &[option, value] : options) {
        const auto number = arguments.number(option);
        if (!number)
            return tl::unexpected(number.error());
        *value = *number;
    }
    return setLimits(std::move(before), arguments.text("SERVICE"), changes);
}

} // namespace gooseberrymoor
