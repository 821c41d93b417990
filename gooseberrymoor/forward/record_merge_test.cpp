#include "gooseberrymoor/forward/record_merge.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace gooseberrymoor;

TEST_CASE("Parts are merged into their largest records")
{
    const std::string low(record_bytes, '\x01');
    const std::string high(record_bytes, '\xf0');

    SUBCASE("in descending order, with bytes compared as unsigned")
    {
        CHECK(largestRecords({ low, high }, 2) == high + low);
    }
    SUBCASE("keeping duplicates")
    {
        CHECK(largestRecords({ high + low, high }, 2) == high + high);
    }
    SUBCASE("ignoring a trailing incomplete record")
    {
        CHECK(largestRecords({ low + "\xff\xff" }, 5) == low);
    }
    CHECK(rc::check("with the same result as sorting all records", [] {
        const auto records = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(record_bytes, rc::gen::arbitrary<char>()));
        const auto limit = *rc::gen::inRange<std::size_t>(0, 12);
        std::vector<std::string> parts(3);
        for (std::size_t i = 0; i < records.size(); ++i)
            parts[i % 3] += records[i];
        std::vector<std::string> sorted = records;
        std::sort(sorted.rbegin(), sorted.rend());
        std::string expected;
        for (std::size_t i = 0; i < std::min(limit, sorted.size()); ++i)
            expected += sorted[i];
        RC_ASSERT(largestRecords(parts, limit) == expected);
    }));
}
