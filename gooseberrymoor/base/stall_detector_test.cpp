#include "gooseberrymoor/base/stall_detector.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

TEST_CASE("A message that is read")
{
    const time_point start { duration(100'000) };
    stall_detector detector(start);
    time_point now = start;
    for (int i = 0; i < 10; ++i) {
        now += duration(100);
        detector.onTick(now);
    }

    SUBCASE("while the process runs has not waited")
    {
        CHECK(detector.possibleReadDelay(now + duration(90)) == duration(0));
        CHECK(detector.possibleReadDelay(now + duration(300)) == duration(0)); // it is only slow
    }
    SUBCASE("first after a pause may have waited as long")
    {
        CHECK(detector.possibleReadDelay(now + duration(4000)) == duration(4000));
        SUBCASE("also once the next tick has shown the pause")
        {
            detector.onTick(now + duration(4000));
            CHECK(detector.possibleReadDelay(now + duration(4020)) == duration(4000));
        }
        SUBCASE("but not when all that had arrived is read")
        {
            detector.onTick(now + duration(4000));
            CHECK(detector.possibleReadDelay(now + duration(4060)) == duration(0));
        }
    }
}
