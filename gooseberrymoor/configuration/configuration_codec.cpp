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

std::string requireString(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    if (!value || !value->is_string())
        throw std::invalid_argument(std::string(key) + ": missing or not a string");
    return std::string(value->as_string());
}

std::int64_t requireInteger(const json::object &from, const char *key, std::int64_t min,
                            std::int64_t max)
{
    const json::value *value = from.if_contains(key);
    if (!value || !value->is_int64())
        throw std::invalid_argument(std::string(key) + ": missing or not an integer");
    if (value->as_int64() < min || value->as_int64() > max)
        throw std::invalid_argument(std::string(key) + ": out of range");
    return value->as_int64();
}

bool boolOrFalse(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    return value && value->is_bool() && value->as_bool();
}

const json::array &requireArray(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    if (!value || !value->is_array())
        throw std::invalid_argument(std::string(key) + ": missing or not an array");
    return value->as_array();
}

const json::object &requireObject(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    if (!value || !value->is_object())
        throw std::invalid_argument(std::string(key) + ": missing or not an object");
    return value->as_object();
}

target_config targetFromJson(const json::object &from)
{
    target_config target;
    target.name = requireString(from, "name");
    const std::string address = requireString(from, "address");
    const auto parsed = parseEndpoint(address);
    if (!parsed)
        throw std::invalid_argument("address: \"" + address
                                    + "\" is not an IP address with a port");
    target.address = *parsed;
    target.availabilityZone = requireString(from, "availability_zone");
    target.version = requireString(from, "version");
    target.leaving = boolOrFalse(from, "leaving");
    return target;
}

group_config groupFromJson(const json::object &from)
{
    group_config group;
    group.name = requireString(from, "name");
    for (const json::value &target : requireArray(from, "targets"))
        group.targets.push_back(targetFromJson(target.as_object()));
    return group;
}

snapshot_config snapshotFromJson(const json::object &from)
{
    snapshot_config snapshot;
    snapshot.id = requireString(from, "id");
    for (const auto &[shard, group] : requireObject(from, "shards"))
        snapshot.groupOfShard[std::string(shard)] = std::string(group.as_string());
    return snapshot;
}

constexpr int max_slots = 10'000;
constexpr int max_permille = 1000;
constexpr int max_warmup_ms = 3'600'000;

target_limits limitsFromJson(const json::object &from)
{
    target_limits limits;
    limits.slots = static_cast<int>(requireInteger(from, "slots", 1, max_slots));
    limits.connections = static_cast<int>(requireInteger(from, "connections", 1, max_slots));
    limits.coldSlots = static_cast<int>(requireInteger(from, "cold_slots", 1, limits.slots));
    limits.warmup = duration(requireInteger(from, "warmup_ms", 0, max_warmup_ms));
    return limits;
}

version_config versionFromJson(const json::object &from)
{
    version_config version;
    version.name = requireString(from, "name");
    version.sharePermille
        = static_cast<int>(requireInteger(from, "share_permille", 0, max_permille));
    version.blocked = boolOrFalse(from, "blocked");
    return version;
}

void checkReferences(const service_config &service)
{
    std::set<std::string> targetNames;
    for (const group_config &group : service.groups) {
        for (const target_config &target : group.targets) {
            if (!targetNames.insert(target.name).second)
                throw std::invalid_argument("targets: \"" + target.name + "\" is listed twice");
        }
    }
    for (const snapshot_config &snapshot : service.snapshots) {
        for (const auto &[shard, group] : snapshot.groupOfShard) {
            if (!service.findGroup(group))
                throw std::invalid_argument("shards: group \"" + group + "\" does not exist");
        }
    }
}

service_config serviceFromJson(const json::object &from)
{
    service_config service;
    service.name = requireString(from, "name");
    service.limits = limitsFromJson(requireObject(from, "limits"));
    for (const json::value &group : requireArray(from, "groups"))
        service.groups.push_back(groupFromJson(group.as_object()));
    for (const json::value &snapshot : requireArray(from, "snapshots"))
        service.snapshots.push_back(snapshotFromJson(snapshot.as_object()));
    for (const json::value &version : requireArray(from, "versions"))
        service.versions.push_back(versionFromJson(version.as_object()));
    checkReferences(service);
    return service;
}

// Parses `text` as JSON, passes it to `read`, and returns any exception's message as the error.
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
    return decode(text,
                  [](const json::value &value) { return serviceFromJson(value.as_object()); });
}

std::string encodeSnapshot(const snapshot_config &snapshot)
{
    return json::serialize(toJson(snapshot));
}

tl::expected<snapshot_config, std::string> decodeSnapshot(const std::string &text)
{
    return decode(text,
                  [](const json::value &value) { return snapshotFromJson(value.as_object()); });
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
