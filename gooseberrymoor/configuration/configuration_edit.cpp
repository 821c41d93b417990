#include "gooseberrymoor/configuration/configuration_edit.h"

#include "gooseberrymoor/configuration/configuration_change.h"
#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_keys.h"
#include "gooseberrymoor/configuration/limits_edit.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr std::int64_t max_permille = 1000;
constexpr std::int64_t max_slots = 10'000;
constexpr std::int64_t max_warmup_ms = 3'600'000;

tl::unexpected<std::string> argumentError(const std::string &argument, const std::string &reason)
{
    return tl::unexpected(argument + ": " + reason);
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

// Applies `edit` to the service called `name`.
template <typename Edit>
edit_result editService(configuration before, const std::string &name, Edit edit)
{
    const auto found = before.services.find(name);
    if (found == before.services.end())
        return argumentError("SERVICE",
                             "service " + quoted(name) + " does not exist; see `service list`");
    const tl::expected<void, std::string> edited = edit(found->second);
    if (!edited)
        return tl::unexpected(edited.error());
    return before;
}

target_config *findTarget(service_config &service, const std::string &name)
{
    for (group_config &group : service.groups) {
        const auto found = std::ranges::find(group.targets, name, &target_config::name);
        if (found != group.targets.end())
            return &*found;
    }
    return nullptr;
}

tl::unexpected<std::string> targetNotFound(const service_config &service, const std::string &name)
{
    return argumentError("NAME",
                         "service " + quoted(service.name) + " has no target " + quoted(name)
                             + "; see `service show " + service.name + "`");
}

tl::expected<void, std::string> setInRange(const char *option, std::int64_t min, std::int64_t max,
                                           std::optional<std::int64_t> given, int &value)
{
    if (!given)
        return {};
    if (*given < min || *given > max) {
        return argumentError(option,
                             std::to_string(*given) + " is outside " + std::to_string(min) + " to "
                                 + std::to_string(max));
    }
    value = static_cast<int>(*given);
    return {};
}

tl::expected<void, std::string> applyLimits(target_limits &limits, const limits_edit &changes)
{
    int warmupMs = static_cast<int>(limits.warmup.count());
    auto set = setInRange("--slots", 1, max_slots, changes.slots, limits.slots);
    if (set)
        set = setInRange("--connections", 1, max_slots, changes.connections, limits.connections);
    if (set)
        set = setInRange("--cold-slots", 1, limits.slots, changes.coldSlots, limits.coldSlots);
    if (set)
        set = setInRange("--warmup-ms", 0, max_warmup_ms, changes.warmupMs, warmupMs);
    if (!set)
        return set;
    if (limits.coldSlots > limits.slots)
        return argumentError("--slots",
                             "below the cold-start limit of " + std::to_string(limits.coldSlots)
                                 + " slots; lower --cold-slots too");
    limits.warmup = duration(warmupMs);
    return {};
}

tl::expected<void, std::string> checkService(const service_config &service)
{
    const auto read = decodeService(encodeService(service));
    if (!read)
        return tl::unexpected("service " + quoted(service.name) + ": " + read.error());
    return {};
}

} // namespace

edit_result putService(configuration before, service_config service)
{
    before.services[service.name] = std::move(service);
    return before;
}

edit_result addTarget(configuration before, const std::string &service, const std::string &group,
                      target_config target)
{
    return editService(
        std::move(before), service, [&](service_config &edited) -> tl::expected<void, std::string> {
            const auto found = std::ranges::find(edited.groups, group, &group_config::name);
            if (found == edited.groups.end())
                return argumentError(
                    "GROUP", "service " + quoted(service) + " has no group " + quoted(group));
            if (findTarget(edited, target.name))
                return argumentError("NAME",
                                     "service " + quoted(service) + " already has a target "
                                         + quoted(target.name) + "; remove it first");
            found->targets.push_back(std::move(target));
            return {};
        });
}

edit_result removeTarget(configuration before, const std::string &service,
                         const std::string &target)
{
    return editService(
        std::move(before), service, [&](service_config &edited) -> tl::expected<void, std::string> {
            if (!findTarget(edited, target))
                return targetNotFound(edited, target);
            for (group_config &group : edited.groups) {
                std::erase_if(group.targets,
                              [&](const target_config &each) { return each.name == target; });
            }
            return {};
        });
}

edit_result setLeaving(configuration before, const std::string &service, const std::string &target,
                       bool leaving)
{
    return editService(std::move(before), service,
                       [&](service_config &edited) -> tl::expected<void, std::string> {
                           target_config *found = findTarget(edited, target);
                           if (!found)
                               return targetNotFound(edited, target);
                           found->leaving = leaving;
                           return {};
                       });
}

edit_result setLimits(configuration before, const std::string &service, const limits_edit &changes)
{
    if (!changes.slots && !changes.connections && !changes.coldSlots && !changes.warmupMs)
        return argumentError("limits set",
                             "specify at least one of --slots, --connections, --cold-slots, "
                             "--warmup-ms");
    return editService(std::move(before), service,
                       [&](service_config &edited) { return applyLimits(edited.limits, changes); });
}

edit_result setVersion(configuration before, const std::string &service, const std::string &version,
                       std::optional<std::int64_t> sharePermille, std::optional<bool> blocked)
{
    if (!sharePermille && !blocked)
        return argumentError("version set", "specify --share, --block or --unblock");
    return editService(
        std::move(before), service, [&](service_config &edited) -> tl::expected<void, std::string> {
            auto found = std::ranges::find(edited.versions, version, &version_config::name);
            if (found == edited.versions.end())
                found = edited.versions.insert(found, version_config { version, 0, false });
            found->blocked = blocked.value_or(found->blocked);
            return setInRange("--share", 0, max_permille, sharePermille, found->sharePermille);
        });
}

edit_result addSnapshot(configuration before, const std::string &service, snapshot_config snapshot)
{
    return editService(
        std::move(before), service, [&](service_config &edited) -> tl::expected<void, std::string> {
            if (edited.findSnapshot(snapshot.id))
                return argumentError("FILE",
                                     "service " + quoted(service) + " has a snapshot "
                                         + quoted(snapshot.id) + " already");
            edited.snapshots.push_back(std::move(snapshot));
            return {};
        });
}

edit_result removeSnapshot(configuration before, const std::string &service,
                           const std::string &snapshot)
{
    return editService(
        std::move(before), service, [&](service_config &edited) -> tl::expected<void, std::string> {
            if (!edited.findSnapshot(snapshot))
                return argumentError("SNAPSHOT",
                                     "service " + quoted(service) + " has no snapshot "
                                         + quoted(snapshot));
            if (edited.snapshots.size() == 1)
                return argumentError("SNAPSHOT",
                                     quoted(snapshot)
                                         + " is the only snapshot; add its replacement first");
            std::erase_if(edited.snapshots,
                          [&](const snapshot_config &each) { return each.id == snapshot; });
            return {};
        });
}

edit_result takeZoneOut(configuration before, const std::string &zone)
{
    if (!zonesOf(before).contains(zone))
        return argumentError("ZONE", "no target is in " + quoted(zone) + "; see `zone list`");
    before.zonesOut.insert(zone);
    return before;
}

edit_result bringZoneIn(configuration before, const std::string &zone)
{
    if (!zonesOf(before).contains(zone))
        return argumentError("ZONE", "no target is in " + quoted(zone) + "; see `zone list`");
    before.zonesOut.erase(zone);
    return before;
}

std::set<std::string> zonesOf(const configuration &current)
{
    std::set<std::string> zones = current.zonesOut;
    for (const auto &[name, service] : current.services) {
        for (const group_config &group : service.groups) {
            for (const target_config &target : group.targets)
                zones.insert(target.availabilityZone);
        }
    }
    return zones;
}

tl::expected<configuration_change, std::string> changeBetween(const configuration &before,
                                                              const configuration &after,
                                                              const configuration_keys &keys,
                                                              const std::string &what)
{
    configuration_change change;
    change.what = what;
    for (const auto &[name, service] : after.services) {
        const service_config *present = before.findService(name);
        if (present && *present == service)
            continue;
        if (const auto valid = checkService(service); !valid)
            return tl::unexpected(valid.error());
        change.puts.push_back({ keys.service(name), encodeService(service), 0 });
    }
    for (const auto &[name, service] : before.services) {
        if (!after.findService(name))
            change.deletes.push_back(keys.service(name));
    }
    if (before.zonesOut != after.zonesOut)
        change.puts.push_back({ keys.zonesOut(), encodeZones(after.zonesOut), 0 });
    return change;
}

} // namespace gooseberrymoor
