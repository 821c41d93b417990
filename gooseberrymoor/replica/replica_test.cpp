#include "gooseberrymoor/replica/cold_target_limiter.h"
#include "gooseberrymoor/replica/expected_wait_selector.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(100'000) };
constexpr int answers_to_learn = 20;

replica entryOf(const std::string &id, const std::string &zone, unsigned slots = 4)
{
    replica entry;
    entry.id = id;
    entry.service = "standings";
    entry.address = { "10.0.0.1", static_cast<std::uint16_t>(1000 + id.back()) };
    entry.availabilityZone = zone;
    entry.slots = slots;
    return entry;
}

void answerIn(known_replica &target, duration taken, time_point now)
{
    const std::uint64_t ticket = target.health.onSent(now - taken);
    target.health.onEnded(ticket, attempt_outcome::answered, std::nullopt, now);
}

struct site
{
    site()
    {
        for (const char *zone : { "a", "b", "c" })
            replicas.put(entryOf(std::string("r-") + zone, zone), start);
        for (const auto &[id, target] : replicas.all()) {
            for (int i = 0; i < answers_to_learn; ++i)
                answerIn(*target, duration(20), start);
        }
    }

    std::string choose(time_point now = start, const std::set<std::string> &excluded = {})
    {
        const auto target = selector.choose("standings", excluded, now);
        return target ? target->entry.id : "";
    }

    replica_set replicas;
    replica_subset subset { replicas, "node-1", "a" };
    cold_target_limiter cold { "node-1", { 1.5, 5 } };
    expected_wait_selector selector { replicas, subset, cold, "a" };
};

} // namespace

TEST_CASE("A node chooses the target of each request")
{
    site site;
    const auto own = site.replicas.find("r-a");

    SUBCASE("in its own availability zone, while that one is no slower")
    {
        CHECK(site.choose() == "r-a");
    }
    SUBCASE("elsewhere, when its own is many times slower")
    {
        for (int i = 0; i < answers_to_learn; ++i)
            answerIn(*own, duration(160), start);
        CHECK(site.choose() != "r-a");
        SUBCASE("even when most of the others are as slow")
        {
            for (int i = 0; i < answers_to_learn; ++i)
                answerIn(*site.replicas.find("r-b"), duration(160), start);
            CHECK(site.choose() == "r-c");
        }
        SUBCASE("and comes back to it once what it saw there is old")
        {
            CHECK(site.choose(start + duration(20'000)) == "r-a");
        }
    }
    SUBCASE("elsewhere, when its own has an overdue request, as in a pause")
    {
        own->health.onSent(start - duration(150));
        CHECK(site.choose() != "r-a");
    }
    SUBCASE("elsewhere, when its own has just failed")
    {
        const auto ticket = own->health.onSent(start);
        own->health.onEnded(ticket, attempt_outcome::lost, std::nullopt, start);
        CHECK(site.choose() != "r-a");
        SUBCASE("yet a failing one is better than none")
        {
            CHECK(site.choose(start, { "r-b", "r-c" }) == "r-a");
        }
    }
    SUBCASE("elsewhere, when many requests to its own fail, also right after one that did not")
    {
        for (int i = 0; i < answers_to_learn; ++i) {
            const auto ticket = own->health.onSent(start);
            own->health.onEnded(ticket, attempt_outcome::lost, std::nullopt, start);
            answerIn(*own, duration(20), start);
        }
        CHECK(!own->health.isSuspect(start));
        CHECK(site.choose() != "r-a");
    }
    SUBCASE("elsewhere, when its own drains")
    {
        replica draining = own->entry;
        draining.draining = true;
        site.replicas.put(draining, start);
        CHECK(site.choose() != "r-a");
        SUBCASE("and never there, even if it is the only one left")
        {
            CHECK(site.choose(start, { "r-b", "r-c" }).empty());
        }
    }
    SUBCASE("elsewhere, when operators have taken the zone out")
    {
        site.replicas.setZonesOut({ "a" });
        CHECK(site.choose() != "r-a");
        site.replicas.setZonesOut({ "a", "b", "c" });
        CHECK(site.choose().empty());
    }
    SUBCASE("and nothing of one start is held against the next at the same id")
    {
        replica next = own->entry;
        next.incarnation = 2;
        own->health.onSent(start - duration(150));
        site.replicas.put(next, start);
        CHECK(site.choose() == "r-a");
        CHECK(own->removed);
    }
}

TEST_CASE("Cold targets get no more than they bear, over all nodes")
{
    CHECK(rc::check("whatever two views of the live nodes are held at one time", [] {
        const double rate = *rc::gen::inRange(1, 40);
        const cold_rate_tolerance tolerance { 1.5, 5 };
        const int nodes = *rc::gen::inRange(1, 10);
        routing_configuration configuration;
        configuration.services["standings"].coldRequestsPerSecond = rate;
        std::vector<cold_target_limiter> allowances;
        std::vector<std::string> names;
        for (int i = 0; i < nodes; ++i)
            names.push_back("node-" + std::to_string(i));
        for (const std::string &name : names) {
            allowances.emplace_back(name, tolerance);
            allowances.back().configure(configuration);
            // Half of them have not heard yet that the first node is there.
            const bool isBehind = *rc::gen::arbitrary<bool>();
            std::vector<std::string> view(names.begin() + (isBehind ? 1 : 0), names.end());
            if (view.empty())
                view.push_back(name);
            allowances.back().setNodes(view);
        }
        known_replica target;
        target.entry = entryOf("cold", "a");
        target.coldUntil = start + duration(10'000);
        std::deque<time_point> lastSecond;
        for (time_point now = start; now < start + duration(3000); now += duration(10)) {
            for (cold_target_limiter &each : allowances) {
                if (!each.isEligible(target, now))
                    continue;
                each.onSent(target, now);
                lastSecond.push_back(now);
            }
            while (!lastSecond.empty() && now - lastSecond.front() >= duration(1000))
                lastSecond.pop_front();
            RC_ASSERT(static_cast<double>(lastSecond.size())
                      <= rate * tolerance.factor + tolerance.slack);
        }
    }));
    SUBCASE("and a warm one is open to every node")
    {
        cold_target_limiter other("node-2", { 1.5, 5 });
        other.setNodes({ "node-1", "node-2", "node-3" });
        known_replica warm;
        warm.entry = entryOf("warm", "a");
        CHECK(other.isEligible(warm, start));
    }
}
