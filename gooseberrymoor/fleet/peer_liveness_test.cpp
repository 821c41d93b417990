#include "gooseberrymoor/fleet/peer_liveness.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <memory>

using namespace gooseberrymoor;

namespace {

constexpr duration update_interval { 100 };
constexpr duration heartbeat_interval { 300 };
constexpr duration silence_report_interval { 1000 };
constexpr std::size_t zone_count = 3;

std::string nodeName(std::size_t number)
{
    return "node-" + std::to_string(100 + number);
}

std::string zoneOf(std::size_t number)
{
    return "zone-" + std::to_string(number % zone_count);
}

// A fleet whose nodes exchange heartbeats in simulated time.
struct simulated_fleet
{
    explicit simulated_fleet(std::size_t count)
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
        bool isRunning = true;
        peer_report announced;
        time_point announcedAt {};
    };

    void runFor(duration time)
    {
        for (const time_point end = now + time; now < end; now += update_interval) {
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (nodes[i].isRunning)
                    step(i);
            }
        }
    }

    void step(std::size_t number)
    {
        node &self = nodes[number];
        self.liveness->onTime(now);
        const peer_report &report = self.liveness->report();
        const bool isRepeatDue
            = !report.silent.empty() && now - self.announcedAt >= silence_report_interval;
        const bool sendsToAll = report != self.announced || isRepeatDue;
        const bool isHeartbeatDue = (now.time_since_epoch() / update_interval + number)
                % (heartbeat_interval / update_interval)
            == 0;
        if (!sendsToAll && !isHeartbeatDue)
            return;
        if (sendsToAll) {
            self.announced = report;
            self.announcedAt = now;
        }
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const bool isRecipient
                = sendsToAll || self.liveness->heartbeatRecipients().contains(nodeName(i));
            if (i == number || !nodes[i].isRunning || !isRecipient || !isConnected(number, i))
                continue;
            nodes[i].liveness->onHeartbeat(nodeName(number), report, now);
            ++sent;
        }
    }

    // Whether node `at` considers `other` alive.
    bool seesAlive(std::size_t at, std::size_t other) const
    {
        return nodes[at].liveness->isAlive(nodeName(other), now);
    }

    // Whether every running node knows which of the other nodes are running.
    bool hasCorrectViews() const
    {
        for (std::size_t at = 0; at < nodes.size(); ++at) {
            for (std::size_t other = 0; other < nodes.size(); ++other) {
                if (nodes[at].isRunning && at != other
                    && seesAlive(at, other) != nodes[other].isRunning)
                    return false;
            }
        }
        return true;
    }

    std::size_t readerCount() const
    {
        std::size_t count = 0;
        for (const node &each : nodes)
            count += each.isRunning && each.liveness->isReader(now) ? 1 : 0;
        return count;
    }

    std::vector<node> nodes;
    std::map<std::string, std::string> zones;
    std::function<bool(std::size_t, std::size_t)> isConnected = [](auto, auto) { return true; };
    time_point now { duration(100'000) };
    std::size_t sent = 0;
};

} // namespace

TEST_CASE("The nodes of a fleet agree on which of them are alive")
{
    SUBCASE("in a small fleet")
    {
        simulated_fleet fleet(5);
        fleet.runFor(duration(1000));
        CHECK(fleet.hasCorrectViews());
        CHECK(fleet.readerCount() == 1);

        SUBCASE("within 1.2 seconds of the failure of a node")
        {
            fleet.nodes[0].isRunning = false;
            fleet.runFor(duration(1200));
            CHECK(fleet.hasCorrectViews());
            CHECK(fleet.readerCount() == 1);
        }
        SUBCASE("and a new node considers a node it watches alive only after its first heartbeat")
        {
            peer_liveness joining("node-900", "zone-0");
            joining.setNodes({ { "node-100", "zone-0" } }, fleet.now);
            CHECK_FALSE(joining.isAlive("node-100", fleet.now));
        }
    }
    SUBCASE("in a large fleet")
    {
        constexpr std::size_t count = 90;
        simulated_fleet fleet(count);
        fleet.runFor(duration(1500));
        CHECK(fleet.hasCorrectViews());
        CHECK(fleet.readerCount() == 1);

        SUBCASE("and each heartbeat is sent to at most six nodes on average")
        {
            fleet.sent = 0;
            fleet.runFor(duration(3000));
            CHECK(fleet.sent <= count * 10 * 6); // 10 heartbeats to at most 6 nodes
        }
        SUBCASE("within two seconds of the failure of a zone")
        {
            for (std::size_t i = 0; i < count; i += zone_count)
                fleet.nodes[i].isRunning = false;
            fleet.runFor(duration(2000));
            CHECK(fleet.hasCorrectViews());
            CHECK(fleet.readerCount() == 1);
            SUBCASE("and within two seconds of the recovery of the zone")
            {
                for (std::size_t i = 0; i < count; i += zone_count)
                    fleet.nodes[i].isRunning = true;
                fleet.runFor(duration(2000));
                CHECK(fleet.hasCorrectViews());
            }
        }
        SUBCASE("and a node that is cut off from one watcher stays alive for all other nodes")
        {
            const std::string cutOff = nodeName(7);
            const std::string watcher = *fleet.nodes[7].liveness->heartbeatRecipients().begin();
            fleet.isConnected = [&](std::size_t from, std::size_t to) {
                return nodeName(from) != cutOff || nodeName(to) != watcher;
            };
            fleet.runFor(duration(3000));
            std::size_t disagreeing = 0;
            for (std::size_t i = 0; i < count; ++i)
                disagreeing += i != 7 && !fleet.seesAlive(i, 7) ? 1 : 0;
            CHECK(disagreeing <= 1);
        }
        SUBCASE("and a node that resumes after a stall considers no other node failed")
        {
            fleet.nodes[3].isRunning = false;
            fleet.runFor(duration(5000));
            fleet.nodes[3].isRunning = true;
            fleet.nodes[3].liveness->onTime(fleet.now);
            CHECK(fleet.nodes[3].liveness->report().silent.empty());
            fleet.runFor(duration(2000));
            CHECK(fleet.hasCorrectViews());
        }
    }
    SUBCASE("after simultaneous failures of any number of nodes")
    {
        CHECK(rc::check("the running nodes agree within four seconds", [] {
            const auto count = *rc::gen::inRange<std::size_t>(2, 70);
            simulated_fleet fleet(count);
            fleet.runFor(duration(1500));
            const auto failurePercent = *rc::gen::inRange(5, 95);
            std::size_t alive = 0;
            for (auto &each : fleet.nodes) {
                each.isRunning = *rc::gen::inRange(0, 100) >= failurePercent;
                alive += each.isRunning ? 1 : 0;
            }
            fleet.runFor(duration(4000));
            if (alive < 2)
                return; // a node that receives no heartbeats cannot tell whether it is cut off
            RC_ASSERT(fleet.hasCorrectViews());
            RC_ASSERT(fleet.readerCount() == 1);
        }));
    }
}

TEST_CASE("A node that cannot reach the store")
{
    simulated_fleet fleet(40);
    fleet.runFor(duration(1500));

    SUBCASE("hands the reader's role to another node")
    {
        fleet.nodes[0].liveness->setStoreLost(true);
        fleet.runFor(duration(200));
        CHECK_FALSE(fleet.nodes[0].liveness->isReader(fleet.now));
        CHECK(fleet.nodes[1].liveness->isReader(fleet.now));
        CHECK(fleet.readerCount() == 1);
    }
    SUBCASE("probes the store only if it is one of the first two")
    {
        std::size_t probers = 0;
        for (auto &each : fleet.nodes) {
            each.liveness->setStoreLost(true);
            probers += each.liveness->isProber(fleet.now) ? 1 : 0;
        }
        CHECK(probers == 2);
    }
}
