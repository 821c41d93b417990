#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_holder.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace gooseberrymoor;

namespace {

service_config standings()
{
    service_config service;
    service.name = "standings";
    service.limits = { 4, 35, 1, duration(5000) };
    service.groups = { { "g1", { { "g1-a", { "127.0.0.1", 9001 }, "kl-a", "v1", false } } } };
    service.snapshots = { { "s1", { { "shard-1", "g1" } } } };
    service.versions = { { "v1", 1000, false } };
    return service;
}

} // namespace

TEST_CASE("A service is stored as JSON")
{
    const service_config service = standings();
    SUBCASE("and decodes to the same service")
    {
        const auto back = decodeService(encodeService(service));
        REQUIRE(back);
        CHECK(*back == service);
    }
    SUBCASE("but the error of malformed text names the invalid field")
    {
        CHECK(!decodeService("{"));
        CHECK(!decodeService("[]"));
        const auto noLimits = decodeService(R"({"name":"x"})");
        REQUIRE(!noLimits);
        CHECK(noLimits.error().find("limits") != std::string::npos);
    }
    SUBCASE("and a shard in a nonexistent group is rejected")
    {
        service_config broken = service;
        broken.snapshots[0].groupOfShard["shard-2"] = "g9";
        CHECK(!decodeService(encodeService(broken)));
    }
}

TEST_CASE("The active configuration")
{
    configuration_holder holder;
    SUBCASE("never goes back to an older revision, in any order of arrival")
    {
        CHECK(rc::check([] {
            configuration_holder generated;
            std::int64_t highest = 0;
            for (const auto revision :
                 *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50))) {
                configuration next;
                next.revision = revision;
                const bool taken = generated.offer(next);
                RC_ASSERT(taken == (revision > highest));
                highest = std::max<std::int64_t>(highest, revision);
                RC_ASSERT(generated.current()->revision == highest);
            }
        }));
    }
    SUBCASE("does not change for those that still use it")
    {
        configuration next;
        next.revision = 1;
        REQUIRE(holder.offer(next));
        const auto used = holder.current();
        next.revision = 2;
        REQUIRE(holder.offer(next));
        CHECK(used->revision == 1);
    }
}
