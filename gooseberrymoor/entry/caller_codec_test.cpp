#include "gooseberrymoor/entry/caller_codec.h"

#include "gooseberrymoor/entry/entry_admission.h"
#include "gooseberrymoor/entry/entry_directory.h"
#include "gooseberrymoor/membership/cell_view.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const time_point now { duration(1000) };
const timeout_limits limits { duration(500), duration(2000) };

} // namespace

TEST_CASE("A caller sends a query")
{
    SUBCASE("without a timeout, and the default one applies")
    {
        const auto request = decodeQuery("standings", R"({"body":"q"})", limits, now);
        REQUIRE(request);
        CHECK(request->deadline == now + duration(500));
        CHECK(request->idempotent);
    }
    SUBCASE("with too long a timeout, and the maximum applies")
    {
        const auto request = decodeQuery("standings", R"({"timeout_ms":99999})", limits, now);
        REQUIRE(request);
        CHECK(request->deadline == now + duration(2000));
    }
    SUBCASE("with a timeout of zero, and the error says that it has not run")
    {
        const auto request = decodeQuery("standings", R"({"timeout_ms":0})", limits, now);
        REQUIRE(!request);
        CHECK(request.error().kind == error_kind::deadline_passed);
        CHECK(request.error().outcome == verdict::not_run);
    }
    SUBCASE("with a route, which is kept")
    {
        const auto request = decodeQuery("standings", R"({"route":"laps/live_1-a"})", limits, now);
        REQUIRE(request);
        CHECK(request->route == "laps/live_1-a");
    }
    SUBCASE("with an invalid route")
    {
        const std::string tooLong(65, 'a');
        CHECK(!decodeQuery("standings", R"({"route":"a b"})", limits, now));
        CHECK(!decodeQuery("standings", R"({"route":7})", limits, now));
        CHECK(!decodeQuery("standings", R"({"route":")" + tooLong + R"("})", limits, now));
    }
    SUBCASE("that is malformed")
    {
        for (const char *body : { "", "{", "[]", R"({"body":1})", R"({"shards":"s1"})",
                                  R"({"shards":[1]})", R"({"timeout_ms":"soon"})" })
            CHECK_MESSAGE(!decodeQuery("standings", body, limits, now), body);
    }
}

TEST_CASE("A caller sends a request to one shard")
{
    SUBCASE("which is not idempotent by default")
    {
        const auto request = decodeShardRequest("registry", R"({"shard":"s1"})", limits, now);
        REQUIRE(request);
        CHECK(!request->idempotent);
    }
    SUBCASE("and must name the shard")
    {
        CHECK(!decodeShardRequest("registry", "{}", limits, now));
    }
}

TEST_CASE("A node accepts or rejects requests")
{
    entry_admission admission(2);
    CHECK(admission.checkNodeAvailability(0)->kind == error_kind::not_ready);
    admission.setPhase(entry_phase::ready);
    CHECK(!admission.checkNodeAvailability(1));
    CHECK(admission.checkNodeAvailability(2)->kind == error_kind::overloaded);
    admission.setPhase(entry_phase::leaving);
    CHECK(!admission.checkNodeAvailability(0));
    admission.setPhase(entry_phase::closed);
    CHECK(admission.checkNodeAvailability(0)->kind == error_kind::draining);
}

TEST_CASE("The directory lists entries")
{
    cell_view view;
    view.put({ "n1", 1, "kl-a", { "127.0.0.1", 7001 }, { "127.0.0.1", 8001 }, false });
    view.put({ "n2", 1, "kl-b", { "127.0.0.1", 7002 }, { "127.0.0.1", 8002 }, false });
    CHECK(entryAddresses(view, {}).size() == 2);
    SUBCASE("but none in an excluded zone")
    {
        CHECK(entryAddresses(view, { "kl-a" }) == std::vector<endpoint> { { "127.0.0.1", 8002 } });
    }
    SUBCASE("and none that is leaving")
    {
        view.members[0].leaving = true;
        CHECK(entryAddresses(view, {}) == std::vector<endpoint> { { "127.0.0.1", 8002 } });
    }
}
