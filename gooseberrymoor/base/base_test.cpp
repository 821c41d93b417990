#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/latency_histogram.h"
#include "gooseberrymoor/base/manual_clock.h"
#include "gooseberrymoor/base/request_error.h"
#include "gooseberrymoor/base/verdict.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

TEST_CASE("Enumerators have names")
{
    SUBCASE("a verdict is converted to its name")
    {
        CHECK(nameOf(verdict::may_have_run) == "may_have_run");
        SUBCASE("and the name back to the verdict")
        {
            CHECK(fromName<verdict>("not_run") == verdict::not_run);
        }
        SUBCASE("but an unknown name is not converted")
        {
            CHECK(!fromName<verdict>("perhaps"));
        }
    }
    SUBCASE("every kind of error has a unique name")
    {
        for (const auto &[kind, name] : names(error_kind {}))
            CHECK(fromName<error_kind>(name) == kind);
    }
}

TEST_CASE("An endpoint is an IP address and a port")
{
    SUBCASE("IPv4 is parsed and formatted")
    {
        const auto value = parseEndpoint("127.0.0.1:80");
        REQUIRE(value);
        CHECK(toString(*value) == "127.0.0.1:80");
    }
    SUBCASE("IPv6 addresses are in brackets")
    {
        const auto value = parseEndpoint("[::1]:80");
        REQUIRE(value);
        CHECK(toString(*value) == "[::1]:80");
    }
    SUBCASE("everything else is rejected")
    {
        for (const char *text : { "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999",
                                  "127.0.0.1:8x", "::1:80", ":80", "" })
            CHECK_MESSAGE(!parseEndpoint(text), text);
    }
}

TEST_CASE("Virtual time only advances explicitly")
{
    manual_clock clock;
    const time_point start = millis_clock::now();
    CHECK(millis_clock::now() == start);
    SUBCASE("by exactly the given step")
    {
        clock.advance(duration(25));
        CHECK(millis_clock::now() - start == duration(25));
    }
}

TEST_CASE("A latency histogram")
{
    latency_histogram histogram;
    SUBCASE("returns zero quantiles while it is empty")
    {
        CHECK(histogram.quantile(0.5) == duration(0));
    }
    SUBCASE("finds quantiles to within one bucket")
    {
        for (int i = 1; i <= 1000; ++i)
            histogram.record(duration(i));
        CHECK(histogram.count() == 1000);
        CHECK(histogram.quantile(0.5).count() >= 500);
        CHECK(histogram.quantile(0.5).count() <= 540);
    }
}
