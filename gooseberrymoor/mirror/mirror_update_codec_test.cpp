#include "gooseberrymoor/mirror/mirror_update_codec.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

TEST_CASE("An update for the peers of a node")
{
    mirror_update update { "servers/", 5, 9, duration(40), { { "a", "1", 8 }, {} } };

    SUBCASE("carries the era of its revisions")
    {
        update.era = static_cast<store_era>(1ULL << 63U);
        update.isSnapshot = true;
        const auto decoded = decodeMirrorUpdate(encodeMirrorUpdate(update));
        REQUIRE(decoded);
        CHECK(decoded->era == update.era);
        CHECK(decoded->isSnapshot);
        CHECK(decoded->changes.size() == 2);
    }
    SUBCASE("carries the first era, which isn't the same as none")
    {
        update.era = store_era::first;
        CHECK(decodeMirrorUpdate(encodeMirrorUpdate(update))->era == store_era::first);
    }
    SUBCASE("of a process of an earlier build has no era")
    {
        const auto decoded = decodeMirrorUpdate(encodeMirrorUpdate(update));
        CHECK(!decoded->era);
        CHECK(!decoded->isSnapshot);
    }
}
