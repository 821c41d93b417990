#include "gooseberrymoor/mirror/store_mirror.h"

#include "gooseberrymoor/mirror/mirror_listener.h"
#include "gooseberrymoor/store/store_entry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(100'000) };
constexpr duration return_time { 2500 };

class recorder : public mirror_listener
{
public:
    void onValue(const std::string &key, const std::string &value, std::int64_t) override
    {
        values[key] = value;
    }
    void onRemoved(const std::string &key) override { values.erase(key); }

    std::map<std::string, std::string> values;
};

} // namespace

TEST_CASE("A node's copy of the store")
{
    recorder seen;
    store_mirror mirror(seen, return_time);
    mirror.onRead({ 10, { { "a", "1", 5 }, { "b", "1", 9 } } }, start);
    REQUIRE(seen.values.size() == 2);

    SUBCASE("takes in what changed")
    {
        mirror.onChanges({ { "a", "2", 11 } }, 11, start);
        CHECK(seen.values["a"] == "2");
        CHECK(mirror.revision() == 11);
        SUBCASE("and nothing older that comes late")
        {
            mirror.onChanges({ { "a", "1", 5 } }, 10, start);
            CHECK(seen.values["a"] == "2");
            CHECK(mirror.revision() == 11);
        }
    }
    SUBCASE("forgets a removed key at once while the store is well")
    {
        mirror.onChanges({ { "a", std::nullopt, 11 } }, 11, start);
        CHECK(!seen.values.contains("a"));
    }
    SUBCASE("after an outage")
    {
        mirror.onOutage(start + duration(100));
        SUBCASE("keeps what lapsed until its writer has had the time to come back")
        {
            mirror.onChanges({ { "a", std::nullopt, 11 } }, 11, start + duration(200));
            CHECK(seen.values.contains("a"));
            mirror.onTime(start + duration(2000));
            CHECK(seen.values.contains("a"));
            SUBCASE("and for good, if it does")
            {
                mirror.onChanges({ { "a", "3", 12 } }, 12, start + duration(2100));
                mirror.onTime(start + duration(9000));
                CHECK(seen.values["a"] == "3");
            }
            SUBCASE("and no longer, if it does not")
            {
                mirror.onTime(start + duration(2600));
                CHECK(!seen.values.contains("a"));
            }
        }
        SUBCASE("the same holds for what a whole read lacks")
        {
            mirror.onRead({ 20, { { "b", "1", 9 } } }, start + duration(300));
            CHECK(seen.values.contains("a"));
            CHECK(mirror.nextWake() == start + duration(2600));
            mirror.onTime(mirror.nextWake());
            CHECK(!seen.values.contains("a"));
        }
    }
    CHECK(rc::check("ends where the store is, in whatever order and how often changes come", [] {
        recorder heard;
        store_mirror copy(heard, duration(0));
        std::map<std::string, std::string> truth;
        std::vector<store_change> history;
        for (std::int64_t revision = 1; revision <= 30; ++revision) {
            const std::string key(1, *rc::gen::inRange('a', 'e'));
            if (*rc::gen::inRange(0, 3) == 0 && truth.contains(key)) {
                truth.erase(key);
                history.push_back({ key, std::nullopt, revision });
            } else {
                truth[key] = std::to_string(revision);
                history.push_back({ key, truth[key], revision });
            }
        }
        std::size_t done = 0;
        while (done < history.size()) {
            const auto from = *rc::gen::inRange<std::size_t>(0, done + 1);
            const auto to = *rc::gen::inRange<std::size_t>(done + 1, history.size() + 1);
            const std::vector<store_change> part(history.begin()
                                                     + static_cast<std::ptrdiff_t>(from),
                                                 history.begin() + static_cast<std::ptrdiff_t>(to));
            copy.onChanges(part, part.back().modRevision, start);
            done = to;
        }
        RC_ASSERT(heard.values == truth);
    }));
}
