#include "gooseberrymoor/store/store_era_tracker.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

constexpr store_era era(std::uint64_t number)
{
    return static_cast<store_era>(number);
}

} // namespace

TEST_CASE("A node follows the eras of the store")
{
    store_era_tracker tracker;

    SUBCASE("from the first one that it sees, whatever its number")
    {
        CHECK(tracker.onSeen(era(7)) == era_order::current);
        CHECK(tracker.current() == era(7));
        CHECK(tracker.changes() == 0);
        SUBCASE("to each greater one")
        {
            CHECK(tracker.onSeen(era(9)) == era_order::newer);
            CHECK(tracker.onSeen(era(9)) == era_order::current);
            CHECK(tracker.changes() == 1);
            SUBCASE("and never back, however late an answer comes")
            {
                CHECK(tracker.onSeen(era(8)) == era_order::older);
                CHECK(tracker.onSeen(store_era::first) == era_order::older);
                CHECK(tracker.current() == era(9));
            }
        }
        SUBCASE("and believes a peer that tells none while there has been only one")
        {
            CHECK(tracker.onSeen(std::nullopt) == era_order::current);
            SUBCASE("but not afterwards")
            {
                tracker.onSeen(era(8));
                CHECK(tracker.onSeen(std::nullopt) == era_order::older);
            }
        }
    }
}
