#include "gooseberrymoor/configuration/configuration_edit.h"

#include "gooseberrymoor/configuration/configuration_change.h"
#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_document.h"
#include "gooseberrymoor/configuration/configuration_keys.h"
#include "gooseberrymoor/configuration/limits_edit.h"
#include "gooseberrymoor/store/store_entry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace gooseberrymoor;

namespace {

const configuration_keys keys("main");
const std::filesystem::path examples = std::filesystem::path(SOURCE_FOLDER) / "examples";

configuration site()
{
    service_config service;
    service.name = "standings";
    service.limits = { 4, 35, 1, duration(5000) };
    service.groups = { { "g1", { { "g1-a", { "127.0.0.1", 9001 }, "kl-a", "v1", false } } } };
    service.snapshots = { { "s1", { { "heat-1", "g1" } } } };
    service.versions = { { "v1", 1000, false } };
    configuration result;
    result.revision = 5;
    result.services["standings"] = service;
    return result;
}

target_config targetNamed(const std::string &name)
{
    return { name, { "127.0.0.1", 9002 }, "kl-b", "v1", false };
}

std::string errorOf(const edit_result &result)
{
    REQUIRE(!result);
    return result.error();
}

// Returns the configuration that the store holds after `change`.
configuration configurationAfter(const configuration &before, const configuration_change &change)
{
    std::map<std::string, std::string> stored;
    for (const auto &[name, service] : before.services)
        stored[keys.service(name)] = encodeService(service);
    stored[keys.zonesOut()] = encodeZones(before.zonesOut);
    for (const store_put &put : change.puts)
        stored[put.key] = put.value;
    for (const std::string &key : change.deletes)
        stored.erase(key);
    store_read read;
    for (const auto &[key, value] : stored)
        read.entries.push_back({ key, value, before.revision });
    read.entries.push_back({ keys.head(), "{}", before.revision });
    const auto result = parseConfiguration(read, keys);
    REQUIRE(result);
    return *result;
}

configuration applyEdit(const configuration &before, int kind)
{
    const limits_edit limits { 7, std::nullopt, 2, std::nullopt };
    const std::vector<edit_result> results {
        addTarget(before, "standings", "g1", targetNamed("g1-z")),
        setLeaving(before, "standings", "g1-a", true),
        setLimits(before, "standings", limits),
        setVersion(before, "standings", "v2", 50, std::nullopt),
        setVersion(before, "standings", "v1", std::nullopt, true),
        addSnapshot(before, "standings", { "s2", { { "heat-1", "g1" } } }),
        takeZoneOut(before, "kl-a"),
        bringZoneIn(before, "kl-a"),
        removeTarget(before, "standings", "g1-z"),
        removeSnapshot(before, "standings", "s1"),
    };
    const edit_result &chosen = results[static_cast<std::size_t>(kind) % results.size()];
    return chosen ? *chosen : before;
}

} // namespace

TEST_CASE("Operators edit a configuration")
{
    const configuration before = site();
    SUBCASE("and add, drain and remove a target")
    {
        const auto added = addTarget(before, "standings", "g1", targetNamed("g1-b"));
        REQUIRE(added);
        const auto leaving = setLeaving(*added, "standings", "g1-b", true);
        REQUIRE(leaving);
        CHECK(leaving->findService("standings")->groups[0].targets[1].leaving);
        const auto removed = removeTarget(*leaving, "standings", "g1-b");
        REQUIRE(removed);
        CHECK(*removed == before);
    }
    SUBCASE("and errors name the invalid argument")
    {
        CHECK(errorOf(addTarget(before, "fares", "g1", targetNamed("x"))).starts_with("SERVICE"));
        CHECK(errorOf(addTarget(before, "standings", "g9", targetNamed("x"))).starts_with("GROUP"));
        CHECK(
            errorOf(addTarget(before, "standings", "g1", targetNamed("g1-a"))).starts_with("NAME"));
        CHECK(errorOf(removeTarget(before, "standings", "x")).starts_with("NAME"));
        CHECK(errorOf(setLimits(before, "standings", {})).starts_with("limits"));
        CHECK(errorOf(setLimits(before, "standings", { 0, {}, {}, {} })).starts_with("--slots"));
        CHECK(
            errorOf(setLimits(before, "standings", { {}, {}, 9, {} })).starts_with("--cold-slots"));
        CHECK(errorOf(setVersion(before, "standings", "v1", 1001, {})).starts_with("--share"));
        CHECK(errorOf(removeSnapshot(before, "standings", "s1")).starts_with("SNAPSHOT"));
        CHECK(errorOf(takeZoneOut(before, "kl-x")).starts_with("ZONE"));
    }
    SUBCASE("and the slots of a cold start never exceed those of a warm target")
    {
        configuration wide = before;
        wide.services["standings"].limits.coldSlots = 3;
        CHECK(errorOf(setLimits(wide, "standings", { 2, {}, {}, {} })).starts_with("--slots"));
    }
    SUBCASE("and an invalid service is not written")
    {
        configuration broken = before;
        broken.services["standings"].snapshots[0].groupOfShard["heat-2"] = "g9";
        CHECK(!changeBetween(before, broken, keys, ""));
    }
    SUBCASE("and an edit without effect writes nothing")
    {
        const auto change = changeBetween(before, before, keys, "");
        REQUIRE(change);
        CHECK(change->puts.empty());
        CHECK(change->deletes.empty());
    }
    SUBCASE("and the written changes turn one configuration into the other, for any edits")
    {
        CHECK(rc::check([&before](const std::vector<unsigned char> &kinds) {
            configuration after = before;
            for (const unsigned char kind : kinds)
                after = applyEdit(after, kind);
            const auto change = changeBetween(before, after, keys, "edits");
            RC_ASSERT(change.has_value());
            RC_ASSERT(configurationAfter(before, *change) == after);
        }));
    }
    SUBCASE("and a removed service is deleted in the store")
    {
        configuration after = before;
        after.services.clear();
        const auto change = changeBetween(before, after, keys, "");
        REQUIRE(change);
        CHECK(change->deletes.size() == 1);
        CHECK(configurationAfter(before, *change) == after);
    }
}

TEST_CASE("The examples of both sites are valid services")
{
    int services = 0;
    for (const std::string site : { "malaysia", "riga" }) {
        for (const auto &file : std::filesystem::directory_iterator(examples / site)) {
            if (file.path().extension() != ".json")
                continue;
            std::ifstream input(file.path());
            std::ostringstream text;
            text << input.rdbuf();
            const auto service = decodeService(text.str());
            INFO(file.path().string());
            REQUIRE(service);
            CHECK(service->name == file.path().stem().string());
            CHECK(!service->snapshots.empty());
            ++services;
        }
    }
    CHECK(services == 8);
}
