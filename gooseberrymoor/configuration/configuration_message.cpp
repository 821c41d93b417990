#include "gooseberrymoor/configuration/configuration_message.h"

#include "gooseberrymoor/configuration/configuration_update_generated.h"
#include "gooseberrymoor/peer/wire.h"

namespace gooseberrymoor {

std::vector<std::uint8_t> encodeConfigurationMessage(const configuration_message &message)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::configuration_entry>> entryOffsets;
    entryOffsets.reserve(message.entries.size());
    for (const store_entry &entry : message.entries) {
        entryOffsets.push_back(wire::Createconfiguration_entry(
            builder, builder.CreateString(entry.key), builder.CreateString(entry.value)));
    }
    const auto entries = entryOffsets.empty() ? 0 : builder.CreateVector(entryOffsets);
    builder.Finish(wire::Createconfiguration_update(builder, message.revision, message.asks,
                                                    message.reachesStore, entries));
    const auto bytes = bytesOf(builder);
    return { bytes.begin(), bytes.end() };
}

std::optional<configuration_message>
decodeConfigurationMessage(std::span<const std::uint8_t> payload)
{
    const auto *update = verifiedRoot<wire::configuration_update>(payload);
    if (!update || update->revision() < 0)
        return std::nullopt;
    configuration_message message;
    message.revision = update->revision();
    message.asks = update->asks();
    message.reachesStore = update->reaches_store();
    if (!update->entries())
        return message;
    for (const wire::configuration_entry *entry : *update->entries())
        message.entries.push_back(
            { textOf(entry->key()), textOf(entry->value()), message.revision });
    return message;
}

} // namespace gooseberrymoor
