#include "gooseberrymoor/store/adaptive_call_timeout.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

TEST_CASE("The timeout of store calls adapts to the store's latency")
{
    adaptive_call_timeout timeout(duration(300), duration(1500));

    SUBCASE("it starts at the minimum, so that the end of an outage is noticed quickly")
    {
        CHECK(timeout.time() == duration(300));
    }
    SUBCASE("it doubles after a call that timed out")
    {
        timeout.onTimedOut(duration(300));
        CHECK(timeout.time() == duration(600));
        SUBCASE("only once for calls that time out together")
        {
            timeout.onTimedOut(duration(300));
            timeout.onTimedOut(duration(300));
            CHECK(timeout.time() == duration(600));
        }
        SUBCASE("up to the maximum")
        {
            for (int i = 0; i < 5; ++i)
                timeout.onTimedOut(timeout.time());
            CHECK(timeout.time() == duration(1500));
        }
        SUBCASE("and stays long while answers are slow")
        {
            timeout.onAnswered(duration(400));
            CHECK(timeout.time() == duration(1200));
            SUBCASE("but no longer than that")
            {
                timeout.onAnswered(duration(5));
                CHECK(timeout.time() == duration(300));
            }
        }
    }
}
