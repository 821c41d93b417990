#include "gooseberrymoor/mirror/mirror_update_codec.h"

#include "gooseberrymoor/base/external_duration.h"
#include "gooseberrymoor/mirror/mirror_update_generated.h"
#include "gooseberrymoor/peer/wire.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

flatbuffers::Optional<std::uint64_t> eraOf(const mirror_update &update)
{
    if (!update.era)
        return flatbuffers::nullopt;
    return static_cast<std::uint64_t>(*update.era);
}

} // namespace

std::vector<std::uint8_t> encodeMirrorUpdate(const mirror_update &update)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::key_change>> changes;
    for (const store_change &each : update.changes) {
        const auto key = builder.CreateString(each.key);
        const std::string &value = each.value ? *each.value : std::string();
        const auto bytes = builder.CreateVector(
            reinterpret_cast<const std::uint8_t *>(value.data()), value.size());
        changes.push_back(
            wire::Createkey_change(builder, key, bytes, !each.value, each.modRevision));
    }
    const auto prefix = builder.CreateString(update.prefix);
    const auto changeVector = builder.CreateVector(changes);
    builder.Finish(wire::Createmirror_update(
        builder, prefix, update.fromRevision, update.toRevision, update.storeHealthyFor.count(),
        changeVector, update.isRelayed, eraOf(update), update.isSnapshot));
    const auto bytes = bytesOf(builder);
    return { bytes.begin(), bytes.end() };
}

std::optional<mirror_update> decodeMirrorUpdate(std::span<const std::uint8_t> payload)
{
    const auto *from = verifiedRoot<wire::mirror_update>(payload);
    if (!from || !from->changes())
        return std::nullopt;
    mirror_update update;
    update.prefix = textOf(from->prefix());
    update.fromRevision = from->from_revision();
    update.toRevision = from->to_revision();
    update.storeHealthyFor
        = std::clamp(duration(from->well_for_ms()), duration(0), max_external_duration);
    update.isRelayed = from->passed_on();
    if (const auto era = from->era())
        update.era = static_cast<store_era>(*era);
    update.isSnapshot = from->snapshot();
    for (const wire::key_change *each : *from->changes()) {
        store_change change { textOf(each->key()), std::nullopt, each->revision() };
        if (!each->removed() && each->value())
            change.value.emplace(each->value()->begin(), each->value()->end());
        update.changes.push_back(std::move(change));
    }
    return update;
}

} // namespace gooseberrymoor
