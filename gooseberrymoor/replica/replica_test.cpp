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
constexpr int samples_to_converge = 20;

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

void recordAnswer(known_replica &target, duration taken, time_point now)
{
    const std::uint64_t ticket = target.health.onSent(now - taken);
    target.health.onEnded(ticket, attempt_outcome::answered, std::nullopt, now);
}

struct fixture
{
    fixture()
    {
        for (const char *zone : { "a", "b", "c" })
            replicas.put(entryOf(std::string("r-") + zone, zone), start);
        for (const auto &[id, target] : replicas.all()) {
            for (int i = 0; i < samples_to_converge; ++i)
                recordAnswer(*target, duration(20), start);
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

TEST_CASE("A node selects a target for each request")
{
    fixture env;
    const auto own = env.replicas.find("r-a");

    SUBCASE("in its own availability zone if all targets are equally fast")
    {
        CHECK(env.choose() == "r-a");
    }
    SUBCASE("in another zone if the local target is many times slower")
    {
        for (int i = 0; i < samples_to_converge; ++i)
            recordAnswer(*own, duration(160), start);
        CHECK(env.choose() != "r-a");
        SUBCASE("and there one that is not slow itself")
        {
            for (int i = 0; i < samples_to_converge; ++i)
                recordAnswer(*env.replicas.find("r-b"), duration(160), start);
            CHECK(env.choose() == "r-c");
        }
        SUBCASE("but the local target again once its latency samples have decayed")
        {
            CHECK(env.choose(start + duration(20'000)) == "r-a");
        }
    }
    SUBCASE("in another zone if the local target has an overdue request, as during a pause")
    {
        own->health.onSent(start - duration(150));
        CHECK(env.choose() != "r-a");
    }
    SUBCASE("in another zone if the local target has just failed")
    {
        const auto ticket = own->health.onSent(start);
        own->health.onEnded(ticket, attempt_outcome::lost, std::nullopt, start);
        CHECK(env.choose() != "r-a");
        SUBCASE("but the failed target if there is no other")
        {
            CHECK(env.choose(start, { "r-b", "r-c" }) == "r-a");
        }
    }
    SUBCASE("in another zone if many requests to the local target fail, even right after a success")
    {
        for (int i = 0; i < samples_to_converge; ++i) {
            const auto ticket = own->health.onSent(start);
            own->health.onEnded(ticket, attempt_outcome::lost, std::nullopt, start);
            recordAnswer(*own, duration(20), start);
        }
        CHECK(!own->health.isSuspect(start));
        CHECK(env.choose() != "r-a");
    }
    SUBCASE("in another zone if the local target is draining")
    {
        replica draining = own->entry;
        draining.draining = true;
        env.replicas.put(draining, start);
        CHECK(env.choose() != "r-a");
        SUBCASE("and none if only the draining target is left")
        {
            CHECK(env.choose(start, { "r-b", "r-c" }).empty());
        }
    }
    SUBCASE("in another zone if operators have taken the local zone out of service, and none if "
            "all are out")
    {
        env.replicas.setZonesOut({ "a" });
        CHECK(env.choose() != "r-a");
        env.replicas.setZonesOut({ "a", "b", "c" });
        CHECK(env.choose().empty());
    }
    SUBCASE("without regard to the health of an earlier instance with the same id")
    {
        replica next = own->entry;
        next.incarnation = 2;
        own->health.onSent(start - duration(150));
        env.replicas.put(next, start);
        CHECK(env.choose() == "r-a");
        CHECK(own->removed);
    }
}

TEST_CASE("The request rate of a cold target stays within its limit over all nodes")
{
    CHECK(rc::check("while nodes have two different views of the live nodes", [] {
        const double rate = *rc::gen::inRange(1, 40);
        const cold_rate_tolerance tolerance { 1.5, 5 };
        const int nodes = *rc::gen::inRange(1, 10);
        routing_configuration configuration;
        configuration.services["standings"].coldRequestsPerSecond = rate;
        std::vector<cold_target_limiter> limiters;
        std::vector<std::string> names;
        for (int i = 0; i < nodes; ++i)
            names.push_back("node-" + std::to_string(i));
        for (const std::string &name : names) {
            limiters.emplace_back(name, tolerance);
            limiters.back().configure(configuration);
            // About half of the nodes have an outdated view, which lacks the first node.
            const bool hasOutdatedView = *rc::gen::arbitrary<bool>();
            std::vector<std::string> view(names.begin() + (hasOutdatedView ? 1 : 0), names.end());
            if (view.empty())
                view.push_back(name);
            limiters.back().setNodes(view);
        }
        known_replica target;
        target.entry = entryOf("cold", "a");
        target.coldUntil = start + duration(10'000);
        std::deque<time_point> lastSecond;
        for (time_point now = start; now < start + duration(3000); now += duration(10)) {
            for (cold_target_limiter &each : limiters) {
                if (!each.maySendNow(target, now))
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
    SUBCASE("while every node may send to a warm target")
    {
        cold_target_limiter other("node-2", { 1.5, 5 });
        other.setNodes({ "node-1", "node-2", "node-3" });
        known_replica warm;
        warm.entry = entryOf("warm", "a");
        CHECK(other.maySendNow(warm, start));
    }
}
