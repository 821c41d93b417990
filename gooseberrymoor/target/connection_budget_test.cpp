#include "gooseberrymoor/target/connection_budget.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(1000) };
constexpr duration close_delay { 500 };

} // namespace

TEST_CASE("A target accepts three connections from its owner")
{
    connection_budget budget(3);

    SUBCASE("of which one is reserved for control")
    {
        budget.onOpened();
        CHECK(budget.mayOpen(start));
        budget.onOpened();
        CHECK(!budget.mayOpen(start));
        CHECK(budget.mayOpenControl(start));
        budget.onControlOpened();
        CHECK(!budget.mayOpenControl(start));
        CHECK(budget.totalCount(start) == 3);

        SUBCASE("and a closed one is counted until the target must have closed its end")
        {
            budget.onClosed(start + close_delay, start);
            CHECK(budget.openCount() == 1);
            CHECK(!budget.mayOpen(start));
            CHECK(budget.nextReleaseTime(start) == start + close_delay);
            CHECK(budget.mayOpen(start + close_delay));
        }
        SUBCASE("and one that the target closed is no longer counted")
        {
            budget.onClosed(start, start);
            CHECK(budget.mayOpen(start));
        }
        SUBCASE("and an unresponsive control connection counts until it must have been closed")
        {
            budget.onControlClosed(start + close_delay, start);
            CHECK(!budget.mayOpenControl(start));
            CHECK(budget.mayOpenControl(start + close_delay));
        }
        SUBCASE("and the limit is lowered, so connections must be closed")
        {
            budget.setLimit(2);
            CHECK(budget.isExceeded(start));
            budget.onClosed(start, start);
            CHECK(!budget.isExceeded(start));
            CHECK(!budget.mayOpen(start));
        }
    }
}

TEST_CASE("A target that accepts one connection gets no control connection")
{
    connection_budget budget(1);
    CHECK(budget.mayOpen(start));
    CHECK(!budget.mayOpenControl(start));
    budget.onOpened();
    CHECK(!budget.mayOpen(start));
}
