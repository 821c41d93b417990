#include "gooseberrymoor/tier/stop_schedule.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

TEST_CASE("A node that has been told to stop")
{
    const time_point begun { duration(100'000) };
    const stop_schedule schedule(begun, duration(5500));

    SUBCASE("takes any request at first, since callers still hold its address")
    {
        CHECK(schedule.acceptsRequest(begun + duration(2500), duration(4000)));
    }
    SUBCASE("later takes what surely ends before the process does")
    {
        CHECK(schedule.acceptsRequest(begun + duration(4500), duration(800)));
        SUBCASE("and nothing that may be cut")
        {
            CHECK(!schedule.acceptsRequest(begun + duration(3000), duration(4000)));
            CHECK(!schedule.acceptsRequest(begun + duration(5000), duration(800)));
        }
    }
    SUBCASE("lets no connection in shortly before its end")
    {
        CHECK(schedule.closeTime() < schedule.end());
    }
}
