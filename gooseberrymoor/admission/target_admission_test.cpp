#include "gooseberrymoor/admission/target_admission.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(1000) };
const target_limits limits { 4, 35, 1, duration(3000) };

} // namespace

TEST_CASE("A target is new to its owner")
{
    target_admission admission(limits, start);
    const time_point deadline = start + duration(60'000);
    for (target_admission::ticket request = 1; request <= 6; ++request)
        REQUIRE(admission.offer(request, deadline, start));

    SUBCASE("so it is cold and gets one request")
    {
        CHECK(admission.startNext(start) == 1);
        CHECK(!admission.startNext(start));

        SUBCASE("and the next only when that has ended")
        {
            admission.finish(1, leaf_result::answered, start + duration(10));
            CHECK(admission.startNext(start + duration(10)) == 2);
        }
        SUBCASE("and all its slots once it is warm")
        {
            const time_point warm = start + limits.warmup;
            for (int i = 0; i < 3; ++i)
                CHECK(admission.startNext(warm));
            CHECK(!admission.startNext(warm));

            SUBCASE("until it shows another instance")
            {
                admission.observeInstance("i1", warm);
                admission.observeInstance("i2", warm);
                CHECK(admission.allowance(warm) == 1);
            }
        }
    }
    SUBCASE("and a request that waits too long is never sent")
    {
        CHECK(admission.expire(deadline).size() == 6);
        CHECK(!admission.startNext(deadline));
    }
    SUBCASE("and a request that is withdrawn is never sent")
    {
        CHECK(admission.withdraw(1));
        CHECK(!admission.withdraw(1));
        CHECK(admission.startNext(start) == 2);
    }
}
