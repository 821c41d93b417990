#include "gooseberrymoor/fleet/peer_liveness.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <memory>

using namespace gooseberrymoor;

namespace {

constexpr duration look { 100 };
constexpr duration beat { 300 };
constexpr duration report_interval { 1000 };
constexpr std::size_t zone_count = 3;

std::string nodeName(std::size_t number)
{
    return "node-" + std::to_string(100 + number);
}

std::string zoneOf(std::size_t number)
{
    return "zone-" + std::to_string(number % zone_count);
}

// A fleet whose nodes exchange heartbeats in virtual time.
struct virtual_fleet
{
    explicit virtual_fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back({ std::make_unique<peer_liveness>(nodeName(i), zoneOf(i)), true, {} });
            zones[nodeName(i)] = zoneOf(i);
        }
        for (std::size_t i = 0; i < count; ++i) {
            auto others = zones;
            others.erase(nodeName(i));
            nodes[i].liveness->setNodes(others, now);
        }
    }

    struct node
    {
        std::unique_ptr<peer_liveness> liveness;
        bool runs = true;
        peer_report told;
        time_point toldAt {};
    };

    void runFor(duration time)
    {
        for (const time_point end = now + time; now < end; now += look) {
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (nodes[i].runs)
                    step(i);
            }
        }
    }

    void step(std::size_t number)
    {
        node &self = nodes[number];
        self.liveness->onTime(now);
        const peer_report &report = self.liveness->report();
        const bool repeats = !report.silent.empty() && now - self.toldAt >= report_interval;
        const bool tellsAll = report != self.told || repeats;
        const bool beats = (now.time_since_epoch() / look + number) % (beat / look) == 0;
        if (!tellsAll && !beats)
            return;
        if (tellsAll) {
            self.told = report;
            self.toldAt = now;
        }
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const bool gets = tellsAll || self.liveness->watchers().contains(nodeName(i));
            if (i == number || !nodes[i].runs || !gets || !links(number, i))
                continue;
            nodes[i].liveness->onHeartbeat(nodeName(number), report, now);
            ++sent;
        }
    }

    // Whether node `at` takes `other` for alive.
    bool hears(std::size_t at, std::size_t other) const
    {
        return nodes[at].liveness->isAlive(nodeName(other), now);
    }

    // Whether all that run agree on which nodes run.
    bool isAgreed() const
    {
        for (std::size_t at = 0; at < nodes.size(); ++at) {
            for (std::size_t other = 0; other < nodes.size(); ++other) {
                if (nodes[at].runs && at != other && hears(at, other) != nodes[other].runs)
                    return false;
            }
        }
        return true;
    }

    std::size_t readers() const
    {
        std::size_t count = 0;
        for (const node &each : nodes)
            count += each.runs && each.liveness->isReader(now) ? 1 : 0;
        return count;
    }

    std::vector<node> nodes;
    std::map<std::string, std::string> zones;
    std::function<bool(std::size_t, std::size_t)> links = [](auto, auto) { return true; };
    time_point now { duration(100'000) };
    std::size_t sent = 0;
};

} // namespace

TEST_CASE("The nodes of a fleet know which of them live")
{
    SUBCASE("in a small fleet")
    {
        virtual_fleet fleet(5);
        fleet.runFor(duration(1000));
        CHECK(fleet.isAgreed());
        CHECK(fleet.readers() == 1);

        SUBCASE("within a second of a death")
        {
            fleet.nodes[0].runs = false;
            fleet.runFor(duration(1200));
            CHECK(fleet.isAgreed());
            CHECK(fleet.readers() == 1);
        }
        SUBCASE("a node that was not heard yet is not taken for alive")
        {
            peer_liveness late("node-900", "zone-0");
            late.setNodes({ { "node-100", "zone-0" } }, fleet.now);
            CHECK_FALSE(late.isAlive("node-100", fleet.now));
        }
    }
    SUBCASE("in a large fleet")
    {
        constexpr std::size_t count = 90;
        virtual_fleet fleet(count);
        fleet.runFor(duration(1500));
        CHECK(fleet.isAgreed());
        CHECK(fleet.readers() == 1);

        SUBCASE("with as many heartbeats for each node as in a smaller one")
        {
            fleet.sent = 0;
            fleet.runFor(duration(3000));
            CHECK(fleet.sent <= count * 10 * 6);
        }
        SUBCASE("within two seconds of the death of a zone")
        {
            for (std::size_t i = 0; i < count; i += zone_count)
                fleet.nodes[i].runs = false;
            fleet.runFor(duration(2000));
            CHECK(fleet.isAgreed());
            CHECK(fleet.readers() == 1);
            SUBCASE("and of its return")
            {
                for (std::size_t i = 0; i < count; i += zone_count)
                    fleet.nodes[i].runs = true;
                fleet.runFor(duration(2000));
                CHECK(fleet.isAgreed());
            }
        }
        SUBCASE("one that is cut off from a single watcher stays")
        {
            const std::string cut = nodeName(7);
            const std::string watcher = *fleet.nodes[7].liveness->watchers().begin();
            fleet.links = [&](std::size_t from, std::size_t to) {
                return nodeName(from) != cut || nodeName(to) != watcher;
            };
            fleet.runFor(duration(3000));
            std::size_t without = 0;
            for (std::size_t i = 0; i < count; ++i)
                without += i != 7 && !fleet.hears(i, 7) ? 1 : 0;
            CHECK(without <= 1);
        }
        SUBCASE("a node that stood still takes nobody for dead when it goes on")
        {
            fleet.nodes[3].runs = false;
            fleet.runFor(duration(5000));
            fleet.nodes[3].runs = true;
            fleet.nodes[3].liveness->onTime(fleet.now);
            CHECK(fleet.nodes[3].liveness->report().silent.empty());
            fleet.runFor(duration(2000));
            CHECK(fleet.isAgreed());
        }
    }
    SUBCASE("whichever of them die at once")
    {
        CHECK(rc::check("the living agree within four seconds", [] {
            const auto count = *rc::gen::inRange<std::size_t>(2, 70);
            virtual_fleet fleet(count);
            fleet.runFor(duration(1500));
            const auto share = *rc::gen::inRange(5, 95);
            std::size_t alive = 0;
            for (auto &each : fleet.nodes) {
                each.runs = *rc::gen::inRange(0, 100) >= share;
                alive += each.runs ? 1 : 0;
            }
            fleet.runFor(duration(4000));
            if (alive < 2)
                return; // one that hears nobody can't tell whether it is cut off
            RC_ASSERT(fleet.isAgreed());
            RC_ASSERT(fleet.readers() == 1);
        }));
    }
}

TEST_CASE("A lost store")
{
    virtual_fleet fleet(40);
    fleet.runFor(duration(1500));

    SUBCASE("of the reader makes another node read")
    {
        fleet.nodes[0].liveness->setStoreLost(true);
        fleet.runFor(duration(200));
        CHECK_FALSE(fleet.nodes[0].liveness->isReader(fleet.now));
        CHECK(fleet.nodes[1].liveness->isReader(fleet.now));
        CHECK(fleet.readers() == 1);
    }
    SUBCASE("is looked for by few nodes")
    {
        std::size_t probers = 0;
        for (auto &each : fleet.nodes) {
            each.liveness->setStoreLost(true);
            probers += each.liveness->isProber(fleet.now) ? 1 : 0;
        }
        CHECK(probers == 2);
    }
}
