#include "gooseberrymoor/membership/cell_view.h"

#include "gooseberrymoor/membership/cell_view_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace gooseberrymoor;

namespace {

member memberCalled(const std::string &name)
{
    return { name, 7, "kl-a", { "127.0.0.1", 7001 }, { "127.0.0.1", 8001 }, false };
}

cell_view viewOf(int count)
{
    cell_view view;
    for (int i = 0; i < count; ++i)
        view.put(memberCalled("n" + std::to_string(i)));
    return view;
}

} // namespace

TEST_CASE("A cell agrees on its view")
{
    cell_view view = viewOf(9);
    SUBCASE("which is stored as JSON")
    {
        const auto decoded = decodeView(encodeView(view));
        REQUIRE(decoded);
        CHECK(*decoded == view);
        CHECK(!decodeView("{}"));
    }
    SUBCASE("which determines one owner for each target")
    {
        CHECK(ownerOf(view, "standings/g1-a") == ownerOf(view, "standings/g1-a"));
        CHECK(ownerOf(cell_view {}, "standings/g1-a") == nullptr);

        SUBCASE("spread evenly over the members")
        {
            std::map<std::string, int> owned;
            for (int i = 0; i < 9000; ++i)
                ++owned[ownerOf(view, "t" + std::to_string(i))->name];
            for (const auto &[name, count] : owned)
                CHECK((count > 850 && count < 1150));
        }
        SUBCASE("that is never a leaving member")
        {
            member leaving = *ownerOf(view, "t1");
            leaving.leaving = true;
            view.put(leaving);
            CHECK(ownerOf(view, "t1")->name != leaving.name);
        }
    }
    SUBCASE("and the removal of a member only reassigns the targets that it owned")
    {
        CHECK(rc::check([view](std::uint8_t choice, const std::string &target) {
            cell_view after = view;
            const std::string removed = view.members[choice % view.members.size()].name;
            after.remove(removed);
            const std::string before = ownerOf(view, target)->name;
            if (before != removed)
                RC_ASSERT(ownerOf(after, target)->name == before);
        }));
    }
}
