#include "gooseberrymoor/routing/route_table.h"

#include "gooseberrymoor/routing/weighted_service_selector.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>

using namespace gooseberrymoor;

namespace {

route routeOf(const std::string &name, const std::string &host, const std::string &prefix)
{
    route value;
    value.name = name;
    value.host = host;
    value.pathPrefix = prefix;
    value.split.push_back({ name + "-service", 1 });
    return value;
}

} // namespace

TEST_CASE("A route table is searched by host and path")
{
    routing_configuration configuration;
    configuration.routes
        = { routeOf("short", "a.example", "/heat/"), routeOf("long", "a.example", "/heat/live/"),
            routeOf("other", "b.example", "/heat/") };
    const route_table table(configuration);

    SUBCASE("and returns the route with the longest matching prefix")
    {
        REQUIRE(table.find("a.example", "/heat/live/7"));
        CHECK(table.find("a.example", "/heat/live/7")->name == "long");
        CHECK(table.find("a.example", "/heat/7")->name == "short");
    }
    SUBCASE("and ignores the port and the query string")
    {
        REQUIRE(table.find("b.example:8226", "/heat/7?x=/live/"));
        CHECK(table.find("b.example:8226", "/heat/7?x=/live/")->name == "other");
    }
    SUBCASE("and returns no route if the path lacks the final slash of the prefix")
    {
        CHECK(!table.find("a.example", "/heating/7"));
        SUBCASE("even if the query string contains that slash")
        {
            CHECK(!table.find("a.example", "/heat?/"));
        }
    }
    SUBCASE("and returns no route for an unknown host")
    {
        CHECK(!table.find("c.example", "/heat/7"));
    }
}

TEST_CASE("A split distributes requests by weight")
{
    CHECK(rc::check(
        "and no request count differs from its expected value by more than the number of services",
        [] {
            const auto weights = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(1, 6),
                                                                       rc::gen::inRange(1, 50));
            route weightedRoute;
            weightedRoute.name = "split";
            double total = 0;
            for (std::size_t i = 0; i < weights.size(); ++i) {
                weightedRoute.split.push_back(
                    { std::to_string(i), static_cast<double>(weights[i]) });
                total += weights[i];
            }
            weighted_service_selector selector;
            std::map<std::string, double> counts;
            for (int sent = 1; sent <= 200; ++sent) {
                counts[selector.next(weightedRoute)] += 1;
                for (const weighted_service &each : weightedRoute.split) {
                    const double expected = sent * each.weight / total;
                    RC_ASSERT(std::abs(counts[each.service] - expected)
                              <= static_cast<double>(weights.size()));
                }
            }
        }));
}
