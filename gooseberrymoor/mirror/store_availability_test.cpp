#include "gooseberrymoor/mirror/store_availability.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(100'000) };

time_point at(int milliseconds)
{
    return start + duration(milliseconds);
}

} // namespace

TEST_CASE("A node finds out whether the store was out of service")
{
    store_availability availability;

    SUBCASE("knows of no outage before its first read")
    {
        CHECK(!availability.lastOutage());
        CHECK(!availability.hasServedRecently(start));
        SUBCASE("but believes a peer that knows of one")
        {
            availability.onOutageReported(at(-500));
            availability.onServed(start);
            CHECK(availability.lastOutage() == at(-500));
            CHECK(availability.healthyFor(at(100)) == duration(600));
        }
    }
    SUBCASE("takes a short time without a served read for the failure of a path")
    {
        availability.onServed(start);
        availability.onCallFailed(at(1000));
        CHECK(!availability.onServed(at(1900)));
        CHECK(!availability.lastOutage());
        CHECK(availability.healthyFor(at(1900)) > duration(3'600'000));
        SUBCASE("but suspects an outage")
        {
            CHECK(availability.lastSuspectedOutage() == at(1000));
        }
    }
    SUBCASE("takes a long time without a served read for an outage of the store")
    {
        availability.onServed(start);
        SUBCASE("that lasted until the last failed call")
        {
            availability.onCallFailed(at(1000));
            availability.onCallFailed(at(1900));
            CHECK(!availability.hasServedRecently(at(1900)));
            CHECK(availability.onServed(at(2000)));
            CHECK(availability.lastOutage() == at(1900));
        }
        SUBCASE("that lasted until the late answer, if no call failed")
        {
            CHECK(availability.onServed(at(2500)));
            CHECK(availability.lastOutage() == at(2500));
        }
    }
    // Guards against review/4: all nodes took over the outages that only the reader's path had.
    SUBCASE("ignores an outage that a peer reports of a time in which others were served")
    {
        for (int i = 0; i <= 10; ++i)
            availability.onServed(at(i * 1000));
        availability.onOutageReported(at(9800));
        CHECK(!availability.lastOutage());
        CHECK(!availability.lastSuspectedOutage());
    }
}
