#include "gooseberrymoor/tier/stop_schedule.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

TEST_CASE("A node that is stopping")
{
    const time_point startedAt { duration(100'000) };
    const stop_schedule schedule(startedAt, duration(5500));

    SUBCASE("accepts every request at first, since callers still use its address")
    {
        CHECK(schedule.acceptsRequest(startedAt + duration(2500), duration(4000)));
    }
    SUBCASE("later accepts requests that are certain to complete in time")
    {
        CHECK(schedule.acceptsRequest(startedAt + duration(4500), duration(800)));
        SUBCASE("and rejects requests that might be interrupted")
        {
            CHECK(!schedule.acceptsRequest(startedAt + duration(3000), duration(4000)));
            CHECK(!schedule.acceptsRequest(startedAt + duration(5000), duration(800)));
        }
    }
    SUBCASE("accepts no connections shortly before its end")
    {
        CHECK(schedule.closeTime() < schedule.end());
    }
}
