#include "gooseberrymoor/configuration/configuration_codec.h"

#include "gooseberrymoor/configuration/service_config.h"

#include <boost/json.hpp>

#include <set>
#include <stdexcept>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

json::object toJson(const target_config &target)
{
    return { { "name", target.name },
             { "address", toString(target.address) },
             { "availability_zone", target.availabilityZone },
             { "version", target.version },
             { "leaving", target.leaving } };
}

json::object toJson(const group_config &group)
{
    json::array targets;
    for (const target_config &target : group.targets)
        targets.push_back(toJson(target));
    return { { "name", group.name }, { "targets", targets } };
}

json::object toJson(const snapshot_config &snapshot)
{
    json::object shards;
    for (const auto &[shard, group] : snapshot.groupOfShard)
        shards[shard] = group;
    return { { "id", snapshot.id }, { "shards", shards } };
}

std::string textOf(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    if (!value || !value->is_string())
        throw std::invalid_argument(std::string(key) + ": missing or no text");
    return std::string(value->as_string());
}

std::int64_t numberOf(const json::object &from, const char *key, std::int64_t lowest,
                      std::int64_t highest)
{
    const json::value *value = from.if_contains(key);
    if (!value || !value->is_int64())
        throw std::invalid_argument(std::string(key) + ": missing or no whole number");
    if (value->as_int64() < lowest || value->as_int64() > highest)
        throw std::invalid_argument(std::string(key) + ": out of range");
    return value->as_int64();
}

bool flagOf(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    return value && value->is_bool() && value->as_bool();
}

const json::array &arrayOf(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    if (!value || !value->is_array())
        throw std::invalid_argument(std::string(key) + ": missing or no list");
    return value->as_array();
}

const json::object &objectOf(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    if (!value || !value->is_object())
        throw std::invalid_argument(std::string(key) + ": missing or no object");
    return value->as_object();
}

target_config targetFrom(const json::object &from)
{
    target_config target;
    target.name = textOf(from, "name");
    const std::string address = textOf(from, "address");
    const auto parsed = parseEndpoint(address);
    if (!parsed)
        throw std::invalid_argument("address: \"" + address + "\" is no IP number with a port");
    target.address = *parsed;
    target.availabilityZone = textOf(from, "availability_zone");
    target.version = textOf(from, "version");
    target.leaving = flagOf(from, "leaving");
    return target;
}

group_config groupFrom(const json::object &from)
{
    group_config group;
    group.name = textOf(from, "name");
    for (const json::value &target : arrayOf(from, "targets"))
        group.targets.push_back(targetFrom(target.as_object()));
    return group;
}

snapshot_config snapshotFrom(const json::object &from)
{
    snapshot_config snapshot;
    snapshot.id = textOf(from, "id");
    for (const auto &[shard, group] : objectOf(from, "shards"))
        snapshot.groupOfShard[std::string(shard)] = std::string(group.as_string());
    return snapshot;
}

constexpr int most_slots = 10'000;
constexpr int most_permille = 1000;
constexpr int longest_warmup_ms = 3'600'000;

target_limits limitsFrom(const json::object &from)
{
    target_limits limits;
    limits.slots = static_cast<int>(numberOf(from, "slots", 1, most_slots));
    limits.connections = static_cast<int>(numberOf(from, "connections", 1, most_slots));
    limits.coldSlots = static_cast<int>(numberOf(from, "cold_slots", 1, limits.slots));
    limits.warmup = duration(numberOf(from, "warmup_ms", 0, longest_warmup_ms));
    return limits;
}

version_config versionFrom(const json::object &from)
{
    version_config version;
    version.name = textOf(from, "name");
    version.sharePermille = static_cast<int>(numberOf(from, "share_permille", 0, most_permille));
    version.blocked = flagOf(from, "blocked");
    return version;
}

void checkReferences(const service_config &service)
{
    std::set<std::string> targetNames;
    for (const group_config &group : service.groups) {
        for (const target_config &target : group.targets) {
            if (!targetNames.insert(target.name).second)
                throw std::invalid_argument("targets: \"" + target.name + "\" stands twice");
        }
    }
    for (const snapshot_config &snapshot : service.snapshots) {
        for (const auto &[shard, group] : snapshot.groupOfShard) {
            if (!service.findGroup(group))
                throw std::invalid_argument("shards: no group \"" + group + "\"");
        }
    }
}

service_config serviceFrom(const json::object &from)
{
    service_config service;
    service.name = textOf(from, "name");
    service.limits = limitsFrom(objectOf(from, "limits"));
    for (const json::value &group : arrayOf(from, "groups"))
        service.groups.push_back(groupFrom(group.as_object()));
    for (const json::value &snapshot : arrayOf(from, "snapshots"))
        service.snapshots.push_back(snapshotFrom(snapshot.as_object()));
    for (const json::value &version : arrayOf(from, "versions"))
        service.versions.push_back(versionFrom(version.as_object()));
    checkReferences(service);
    return service;
}

// Runs `read` on the parsed text and turns every fault into a message.
template <typename Read>
auto decode(const std::string &text, Read read)
    -> tl::expected<decltype(read(json::value {})), std::string>
{
    try {
        return read(json::parse(text));
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace

std::string encodeService(const service_config &service)
{
    json::array groups;
    for (const group_config &group : service.groups)
        groups.push_back(toJson(group));
    json::array snapshots;
    for (const snapshot_config &snapshot : service.snapshots)
        snapshots.push_back(toJson(snapshot));
    json::array versions;
    for (const version_config &version : service.versions) {
        versions.push_back(json::object { { "name", version.name },
                                          { "share_permille", version.sharePermille },
                                          { "blocked", version.blocked } });
    }
    const json::object limits { { "slots", service.limits.slots },
                                { "connections", service.limits.connections },
                                { "cold_slots", service.limits.coldSlots },
                                { "warmup_ms", service.limits.warmup.count() } };
    return json::serialize(json::object { { "name", service.name },
                                          { "limits", limits },
                                          { "groups", groups },
                                          { "snapshots", snapshots },
                                          { "versions", versions } });
}

tl::expected<service_config, std::string> decodeService(const std::string &text)
{
    return decode(text, [](const json::value &value) { return serviceFrom(value.as_object()); });
}

std::string encodeSnapshot(const snapshot_config &snapshot)
{
    return json::serialize(toJson(snapshot));
}

tl::expected<snapshot_config, std::string> decodeSnapshot(const std::string &text)
{
    return decode(text, [](const json::value &value) { return snapshotFrom(value.as_object()); });
}

std::string encodeZones(const std::set<std::string> &zones)
{
    json::array list;
    for (const std::string &zone : zones)
        list.push_back(json::string(zone));
    return json::serialize(list);
}

tl::expected<std::set<std::string>, std::string> decodeZones(const std::string &text)
{
    return decode(text, [](const json::value &value) {
        std::set<std::string> zones;
        for (const json::value &zone : value.as_array())
            zones.insert(std::string(zone.as_string()));
        return zones;
    });
}

} // namespace gooseberrymoor
