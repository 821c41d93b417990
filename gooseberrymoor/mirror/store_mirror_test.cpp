#include "gooseberrymoor/mirror/store_mirror.h"

#include "gooseberrymoor/mirror/applied_changes.h"
#include "gooseberrymoor/mirror/mirror_listener.h"
#include "gooseberrymoor/mirror/store_availability.h"
#include "gooseberrymoor/store/store_entry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(100'000) };
constexpr duration reregistration_time { 2500 };

class recording_listener : public mirror_listener
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
    recording_listener listener;
    store_availability availability;
    store_mirror mirror(listener, availability, reregistration_time);
    mirror.onFullRead({ 10, { { "a", "1", 5 }, { "b", "1", 9 } } }, start);
    REQUIRE(listener.values.size() == 2);

    SUBCASE("applies changes")
    {
        mirror.onChanges({ { "a", "2", 11 } }, 11, start);
        CHECK(listener.values["a"] == "2");
        CHECK(mirror.revision() == 11);
        SUBCASE("and ignores older changes that arrive late")
        {
            mirror.onChanges({ { "a", "1", 5 } }, 10, start);
            CHECK(listener.values["a"] == "2");
            CHECK(mirror.revision() == 11);
        }
    }
    // Guards against nodes that missed a configuration for good: the reader named the revisions
    // from the start of its read, but left out what a peer's update had brought meanwhile.
    SUBCASE("reports the changes that a peer's update has not brought during its read")
    {
        recording_listener otherListener;
        store_mirror other(otherListener, availability, reregistration_time);
        other.onFullRead({ 10, { { "a", "1", 5 }, { "b", "1", 9 } } }, start);
        mirror.onChanges({ { "a", "2", 11 } }, 11, start); // the peer's update
        const applied_changes applied
            = mirror.onChanges({ { "a", "2", 11 }, { "b", "2", 12 } }, 12, start); // the read
        REQUIRE(applied.changes.size() == 1);
        CHECK(applied.changes.front().key == "b");
        SUBCASE("so that a node without that update finds that it lacks something")
        {
            CHECK(other.revision() < applied.fromRevision);
        }
        SUBCASE("nor does a read of all keys, which an older copy takes for no change")
        {
            mirror.onChanges({ { "b", "3", 14 } }, 14, start); // the peer's next update
            const applied_changes nothing
                = mirror.onFullRead({ 13, { { "a", "2", 11 }, { "b", "2", 12 } } }, start);
            CHECK(nothing.changes.empty());
            CHECK(nothing.fromRevision == mirror.revision());
        }
    }
    SUBCASE("removes a key immediately while the store is healthy")
    {
        mirror.onChanges({ { "a", std::nullopt, 11 } }, 11, start);
        CHECK(!listener.values.contains("a"));
    }
    SUBCASE("does not bring a removed key back")
    {
        mirror.onChanges({ { "a", std::nullopt, 12 } }, 12, start);
        REQUIRE(!listener.values.contains("a"));
        SUBCASE("when an older update arrives late, from a reader that was paused")
        {
            mirror.onChanges({ { "a", "2", 11 } }, 11, start);
            CHECK(!listener.values.contains("a"));
        }
        SUBCASE("when a full read that started before the removal ends after it")
        {
            mirror.onFullRead({ 11, { { "a", "2", 11 }, { "b", "1", 9 } } }, start);
            CHECK(!listener.values.contains("a"));
        }
        SUBCASE("unless it is written again")
        {
            mirror.onChanges({ { "a", "3", 13 } }, 13, start);
            CHECK(listener.values["a"] == "3");
        }
    }
    SUBCASE("after an outage, of which it knows by a failed call")
    {
        availability.onCallFailed(start + duration(100));
        SUBCASE("keeps a removed key for the re-registration time")
        {
            mirror.onChanges({ { "a", std::nullopt, 11 } }, 11, start + duration(200));
            CHECK(listener.values.contains("a"));
            mirror.onTime(start + duration(2000));
            CHECK(listener.values.contains("a"));
            SUBCASE("and keeps it permanently if it is written again")
            {
                mirror.onChanges({ { "a", "3", 12 } }, 12, start + duration(2100));
                mirror.onTime(start + duration(9000));
                CHECK(listener.values["a"] == "3");
            }
            SUBCASE("and then removes it if it is not written again")
            {
                mirror.onTime(start + duration(2600));
                CHECK(!listener.values.contains("a"));
            }
        }
        SUBCASE("keeps a key that is missing in a full read for the re-registration time")
        {
            mirror.onFullRead({ 20, { { "b", "1", 9 } } }, start + duration(300));
            CHECK(listener.values.contains("a"));
            CHECK(mirror.nextTimedChange() == start + duration(2600));
            mirror.onTime(mirror.nextTimedChange());
            CHECK(!listener.values.contains("a"));
        }
    }
    // Guards against review/4: each failed call of one node put off all waiting removals on all
    // nodes.
    SUBCASE("while this node's path to the store fails again and again")
    {
        const duration failurePeriod { 1650 };
        time_point now = start;
        const auto playFailuresUntil = [&](time_point until) {
            for (; now < until; now += duration(50)) {
                if ((now - start) % failurePeriod == duration(0))
                    availability.onCallFailed(now);
                if ((now - start) % duration(500) == duration(0))
                    availability.onServed(now); // a peer has read the store
                mirror.onTime(now);
            }
        };
        playFailuresUntil(start + duration(5000));
        mirror.onChanges({ { "a", std::nullopt, 11 } }, 11, now);
        SUBCASE("removes a key after the re-registration time at the latest")
        {
            playFailuresUntil(now + reregistration_time + duration(100));
            CHECK(!listener.values.contains("a"));
        }
    }
    SUBCASE("while outages of the store follow each other")
    {
        availability.onServed(start);
        availability.onCallFailed(start + duration(3000));
        availability.onServed(start + duration(3100));
        mirror.onChanges({ { "a", std::nullopt, 11 } }, 11, start + duration(3100));
        availability.onCallFailed(start + duration(5200));
        availability.onServed(start + duration(5400));
        SUBCASE("keeps a removed key for the re-registration time after the last one")
        {
            mirror.onTime(start + duration(7600));
            CHECK(listener.values.contains("a"));
            mirror.onTime(start + duration(7700));
            CHECK(!listener.values.contains("a"));
        }
    }
    CHECK(rc::check("matches the store after overlapping and repeated batches of changes", [] {
        recording_listener recorder;
        const store_availability healthy;
        store_mirror copy(recorder, healthy, duration(0));
        std::map<std::string, std::string> expected;
        std::vector<store_change> history;
        for (std::int64_t revision = 1; revision <= 30; ++revision) {
            const std::string key(1, *rc::gen::inRange('a', 'e'));
            if (*rc::gen::inRange(0, 3) == 0 && expected.contains(key)) {
                expected.erase(key);
                history.push_back({ key, std::nullopt, revision });
            } else {
                expected[key] = std::to_string(revision);
                history.push_back({ key, expected[key], revision });
            }
        }
        std::size_t delivered = 0;
        while (delivered < history.size()) {
            const auto from = *rc::gen::inRange<std::size_t>(0, delivered + 1);
            const auto to = *rc::gen::inRange<std::size_t>(delivered + 1, history.size() + 1);
            const std::vector<store_change> batch(
                history.begin() + static_cast<std::ptrdiff_t>(from),
                history.begin() + static_cast<std::ptrdiff_t>(to));
            copy.onChanges(batch, batch.back().modRevision, start);
            delivered = to;
        }
        RC_ASSERT(recorder.values == expected);
    }));
    CHECK(rc::check("never contains a key that was removed by its revision", [] {
        recording_listener recorder;
        const store_availability healthy;
        store_mirror copy(recorder, healthy, duration(0));
        std::vector<store_change> history;
        std::vector<std::map<std::string, store_entry>> states(1); // by revision
        for (std::int64_t revision = 1; revision <= 30; ++revision) {
            const std::string key(1, *rc::gen::inRange('a', 'e'));
            states.push_back(states.back());
            if (states.back().erase(key) > 0) {
                history.push_back({ key, std::nullopt, revision });
            } else {
                const std::string value = std::to_string(revision);
                states.back()[key] = { key, value, revision };
                history.push_back({ key, value, revision });
            }
        }
        for (int step = 0; step < 20; ++step) {
            const auto to = *rc::gen::inRange<std::size_t>(1, history.size() + 1);
            if (copy.revision() == 0 || *rc::gen::arbitrary<bool>()) {
                store_read read { static_cast<std::int64_t>(to), {} };
                for (const auto &[key, entry] : states[to])
                    read.entries.push_back(entry);
                copy.onFullRead(read, start);
            } else {
                // A batch starts at the copy's revision or before it.
                const auto known = static_cast<std::size_t>(copy.revision());
                const auto from = *rc::gen::inRange<std::size_t>(0, std::min(known, to));
                copy.onChanges({ history.begin() + static_cast<std::ptrdiff_t>(from),
                                 history.begin() + static_cast<std::ptrdiff_t>(to) },
                               static_cast<std::int64_t>(to), start);
            }
            std::map<std::string, std::string> expected;
            for (const auto &[key, entry] : states[static_cast<std::size_t>(copy.revision())])
                expected[key] = entry.value;
            RC_ASSERT(recorder.values == expected);
        }
    }));
}
