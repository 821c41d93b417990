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

TEST_CASE("The times of a request")
{
    const route urgent = routeWith(duration(60));

    SUBCASE("its answer leaves before the target latency is over, for it has a way to go")
    {
        CHECK(answerTime(urgent, arrived, false) < arrived + duration(60));
        SUBCASE("and earlier still if the caller had to connect first")
        {
            CHECK(answerTime(urgent, arrived, true) < answerTime(urgent, arrived, false));
        }
        SUBCASE("but not before half of it, however short it is")
        {
            CHECK(answerTime(routeWith(duration(10)), arrived, true) == arrived + duration(5));
        }
    }
    SUBCASE("a hedge comes when an answer is unusually late")
    {
        CHECK(hedgeDelay(urgent, duration(20)) == duration(20));
        SUBCASE("not before the target had a fair time")
        {
            CHECK(hedgeDelay(urgent, duration(1)) == duration(12));
        }
        SUBCASE("and while there is time for a second answer")
        {
            CHECK(hedgeDelay(urgent, duration(500)) == duration(27));
        }
    }
    SUBCASE("a refused caller comes back soon when targets were full")
    {
        CHECK(retryAfter(duration(5000), true) == duration(100));
        SUBCASE("later when none was known")
        {
            CHECK(retryAfter(duration(5000), false) == duration(400));
        }
        SUBCASE("with time left for an answer")
        {
            CHECK(retryAfter(duration(400), false) == duration(112));
            CHECK(retryAfter(duration(-5), false) == duration(0));
        }
    }
}
