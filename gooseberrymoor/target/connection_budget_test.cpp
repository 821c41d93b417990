#include "gooseberrymoor/target/connection_budget.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(1000) };
constexpr duration while_closing { 500 };

} // namespace

TEST_CASE("A target lets its owner have three connections")
{
    connection_budget budget(3);

    SUBCASE("of which one is kept for control")
    {
        budget.onOpened();
        CHECK(budget.mayOpen(start));
        budget.onOpened();
        CHECK(!budget.mayOpen(start));
        CHECK(budget.mayOpenControl(start));
        budget.onControlOpened();
        CHECK(!budget.mayOpenControl(start));
        CHECK(budget.counted(start) == 3);

        SUBCASE("and a closed one counts until the target has surely closed it")
        {
            budget.onClosed(start + while_closing, start);
            CHECK(budget.open() == 1);
            CHECK(!budget.mayOpen(start));
            CHECK(budget.nextReleaseTime(start) == start + while_closing);
            CHECK(budget.mayOpen(start + while_closing));
        }
        SUBCASE("and one that the target closed counts no more")
        {
            budget.onClosed(start, start);
            CHECK(budget.mayOpen(start));
        }
        SUBCASE("and so does a control connection gone silent")
        {
            budget.onControlClosed(start + while_closing, start);
            CHECK(!budget.mayOpenControl(start));
            CHECK(budget.mayOpenControl(start + while_closing));
        }
        SUBCASE("and then fewer, so some have to go")
        {
            budget.setLimit(2);
            CHECK(budget.isExceeded(start));
            budget.onClosed(start, start);
            CHECK(!budget.isExceeded(start));
            CHECK(!budget.mayOpen(start));
        }
    }
}

TEST_CASE("A target that lets its owner have one connection gets no control connection")
{
    connection_budget budget(1);
    CHECK(budget.mayOpen(start));
    CHECK(!budget.mayOpenControl(start));
    budget.onOpened();
    CHECK(!budget.mayOpen(start));
}
