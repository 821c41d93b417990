#include "gooseberrymoor/store/adaptive_call_timeout.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

TEST_CASE("A store is waited for")
{
    adaptive_call_timeout patience(duration(300), duration(1500));

    SUBCASE("shortly, so that its return is soon noticed")
    {
        CHECK(patience.time() == duration(300));
    }
    SUBCASE("longer after calls that were not answered in time")
    {
        patience.onTimedOut(duration(300));
        CHECK(patience.time() == duration(600));
        SUBCASE("once for calls that waited at the same time")
        {
            patience.onTimedOut(duration(300));
            patience.onTimedOut(duration(300));
            CHECK(patience.time() == duration(600));
        }
        SUBCASE("up to a limit")
        {
            for (int i = 0; i < 5; ++i)
                patience.onTimedOut(patience.time());
            CHECK(patience.time() == duration(1500));
        }
        SUBCASE("as long as it is slow")
        {
            patience.onAnswered(duration(400));
            CHECK(patience.time() == duration(1200));
            SUBCASE("and no longer")
            {
                patience.onAnswered(duration(5));
                CHECK(patience.time() == duration(300));
            }
        }
    }
}
