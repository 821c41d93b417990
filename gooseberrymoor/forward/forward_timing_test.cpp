#include "gooseberrymoor/forward/forward_timing.h"

#include "gooseberrymoor/routing/route.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const time_point arrived { duration(100'000) };

route routeWith(duration targetLatency)
{
    route value;
    value.targetLatency = targetLatency;
    return value;
}

} // namespace

TEST_CASE("The deadlines and delays of a request")
{
    const route urgent = routeWith(duration(60));

    SUBCASE("the response is sent early enough to reach the caller within the target latency")
    {
        CHECK(softDeadlineFor(urgent, arrived, false) < arrived + duration(60));
        SUBCASE("and earlier if the caller had to connect first")
        {
            CHECK(softDeadlineFor(urgent, arrived, true) < softDeadlineFor(urgent, arrived, false));
        }
        SUBCASE("but not before half of the target latency, however short it is")
        {
            CHECK(softDeadlineFor(routeWith(duration(10)), arrived, true) == arrived + duration(5));
        }
    }
    SUBCASE("a hedge is sent when a response takes longer than usual")
    {
        CHECK(hedgeDelay(urgent, duration(20)) == duration(20));
        SUBCASE("not before a minimum delay")
        {
            CHECK(hedgeDelay(urgent, duration(1)) == duration(12));
        }
        SUBCASE("and while there is still time for a second response")
        {
            CHECK(hedgeDelay(urgent, duration(500)) == duration(27));
        }
    }
    SUBCASE("when the node stops, a request is sent only if its response can arrive before the end")
    {
        const time_point end = arrived + duration(5500);
        const duration slow(1000);
        const duration fast(60);
        CHECK(latestSendTime(slow, duration(2600), duration(5000), end) == end - duration(2700));
        SUBCASE("by the target latency if no response has been measured yet")
        {
            CHECK(latestSendTime(slow, duration(0), duration(5000), end) == end - duration(1100));
        }
        SUBCASE("with time for a pause of the target")
        {
            CHECK(latestSendTime(fast, duration(5), duration(5000), end) == end - duration(400));
        }
        SUBCASE("and no longer than the caller waits")
        {
            CHECK(latestSendTime(slow, duration(2600), duration(200), end) == end - duration(300));
        }
    }
    SUBCASE("a refused caller retries soon if targets were full")
    {
        CHECK(retryAfter(duration(5000), true) == duration(100));
        SUBCASE("later if no target was known")
        {
            CHECK(retryAfter(duration(5000), false) == duration(400));
        }
        SUBCASE("with time left for a response")
        {
            CHECK(retryAfter(duration(400), false) == duration(112));
            CHECK(retryAfter(duration(-5), false) == duration(0));
        }
        SUBCASE("when a target accepts requests again")
        {
            CHECK(retryAfter(duration(5000), true, duration(1700)) == duration(1700));
            SUBCASE("unless that is after its deadline")
            {
                CHECK(retryAfter(duration(1000), true, duration(1700)) == duration(100));
            }
        }
    }
}
