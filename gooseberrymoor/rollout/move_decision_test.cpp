#include "gooseberrymoor/rollout/move_decision.h"

#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/rollout/rollout_ramp.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace gooseberrymoor;
using namespace std::chrono_literals;

namespace {

const wall_time start { std::chrono::hours(400'000) };

// A site with one service of two versions, and one move of it.
struct simulated_move
{
    configuration current;
    move_record record;
    move_timing timing;
    wall_time now = start;

    explicit simulated_move(move_kind kind = move_kind::version,
                            std::chrono::milliseconds planned = 1h)
    {
        current.revision = 1;
        service_config service;
        service.name = "standings";
        service.limits.warmup = duration(5000);
        service.groups = { { "g1", { { "a", { "127.0.0.1", 24001 }, "kl-a", "v1", false } } } };
        service.versions = { { "v1", 1000, false }, { "v2", 0, false } };
        current.services["standings"] = service;
        const bool version = kind == move_kind::version;
        record.plan = { "",
                        version ? "standings" : "",
                        kind,
                        version                           ? "v1"
                            : kind == move_kind::zone_out ? "kl-a"
                                                          : "",
                        version                          ? "v2"
                            : kind == move_kind::zone_in ? "kl-a"
                                                         : "",
                        start,
                        start + planned };
        record.plan.id = moveIdOf(record.plan);
    }

    // Decides once and writes the step; whether there was one.
    bool decide(const version_comparison &evidence = {})
    {
        const auto step = decideMove(record, current, evidence, timing, now);
        if (!step)
            return false;
        record = step->next;
        if (step->service)
            current.services["standings"] = *step->service;
        if (step->zonesOut)
            current.zonesOut = *step->zonesOut;
        ++current.revision;
        return true;
    }

    version_config &version(const char *name)
    {
        return *std::ranges::find(current.services["standings"].versions, name,
                                  &version_config::name);
    }
};

version_comparison enough()
{
    version_comparison evidence;
    evidence.requests = 1'000'000;
    return evidence;
}

version_comparison badness()
{
    version_comparison evidence = enough();
    evidence.bad = true;
    evidence.cause = { rollback_reason::errors, "/laps", "new 9 of 10" };
    return evidence;
}

int rankOf(move_state state)
{
    return isFinal(state) ? static_cast<int>(move_state::done) : static_cast<int>(state);
}

} // namespace

TEST_CASE("A move of versions")
{
    simulated_move site;
    SUBCASE("waits for its begin")
    {
        site.now = start - 1ms;
        CHECK(!site.decide(enough()));
        site.now = start;
        CHECK(site.decide(enough()));
        CHECK(site.record.state == move_state::moving);
        CHECK(site.version("v2").sharePermille == rollout_shares_permille.front());
        CHECK(site.version("v1").sharePermille == 1000 - rollout_shares_permille.front());

        SUBCASE("then sees enough requests before each step")
        {
            site.now += 5min;
            CHECK(!site.decide(enough()));
            site.now += 5min;
            CHECK(!site.decide());
            CHECK(site.decide(enough()));
            CHECK(site.record.step == 2);
        }
        SUBCASE("and no step is shorter than the shortest, however late it is")
        {
            site.now = site.record.plan.finishBy;
            CHECK(site.decide(enough()));
            CHECK(site.record.state == move_state::late);
            CHECK(!site.decide(enough()));
            site.now += site.timing.minStepDuration;
            CHECK(site.decide(enough()));
            CHECK(site.record.state == move_state::late);
        }
        SUBCASE("a doubt holds the ramp")
        {
            version_comparison doubt = enough();
            doubt.doubtful = true;
            site.now += 30min;
            CHECK(!site.decide(doubt));
            CHECK(site.decide(enough()));
        }
        SUBCASE("a bad version is blocked and everything given back in one step")
        {
            CHECK(site.decide(badness()));
            CHECK(site.record.state == move_state::rolled_back);
            CHECK(site.record.cause.route == "/laps");
            CHECK(site.version("v2").blocked);
            CHECK(site.version("v2").sharePermille == 0);
            CHECK(site.version("v1").sharePermille == 1000);
            CHECK(!site.decide(enough()));
        }
        SUBCASE("an operator who blocks the version ends the move")
        {
            site.version("v2").blocked = true;
            CHECK(site.decide(enough()));
            CHECK(site.record.cause.reason == rollback_reason::blocked);
            CHECK(site.version("v1").sharePermille == 1000);
        }
        SUBCASE("an operator who gives the version more than planned is corrected")
        {
            site.version("v2").sharePermille = 800;
            CHECK(site.decide());
            CHECK(site.version("v2").sharePermille == rollout_shares_permille.front());
        }
        SUBCASE("a version that is taken out of the configuration ends the move")
        {
            site.current.services["standings"].versions.pop_back();
            CHECK(site.decide(enough()));
            CHECK(site.record.cause.reason == rollback_reason::configuration);
        }
    }
    SUBCASE("leaves the old version traffic to compare with until the last step")
    {
        for (int step = 1; step < rollout_step_count; ++step)
            CHECK(shareAfterStep(step, 1000) <= 900);
        CHECK(shareAfterStep(rollout_step_count, 1000) == 1000);
        CHECK(shareAfterStep(rollout_step_count, 400) == 400);
    }
    SUBCASE("that starts too late is said to be late at once, and is still safe")
    {
        site.now = site.record.plan.finishBy - 1min;
        REQUIRE(site.decide(enough()));
        CHECK(site.record.state == move_state::late);
        CHECK(site.record.sharePermille == rollout_shares_permille.front());
    }
}

TEST_CASE("A good version is moved in time")
{
    SUBCASE("if the time has room for the steps, whenever it is looked at")
    {
        CHECK(rc::check([] {
            const auto planned = std::chrono::seconds(*rc::gen::inRange(400, 20'000));
            simulated_move site(move_kind::version, planned);
            while (!isFinal(site.record.state)) {
                site.decide(enough());
                site.now += std::chrono::milliseconds(*rc::gen::inRange(100, 7000));
                RC_ASSERT(site.now <= site.record.plan.finishBy);
            }
            RC_ASSERT(site.record.state == move_state::done);
            RC_ASSERT(site.version("v2").sharePermille == 1000);
            RC_ASSERT(site.version("v1").sharePermille == 0);
        }));
    }
}

TEST_CASE("Whatever happens to a move of versions")
{
    SUBCASE("it goes one step at a time after evidence, and nothing is ever taken back twice")
    {
        CHECK(rc::check([] {
            simulated_move site(move_kind::version,
                                std::chrono::seconds(*rc::gen::inRange(30, 5000)));
            site.now -= std::chrono::seconds(*rc::gen::inRange(0, 60));
            const int events = *rc::gen::inRange(1, 120);
            bool wasBlocked = false;
            for (int i = 0; i < events; ++i) {
                const move_record before = site.record;
                version_comparison evidence;
                evidence.requests = static_cast<std::uint64_t>(*rc::gen::inRange(0, 700));
                evidence.bad = *rc::gen::inRange(0, 60) == 0;
                evidence.doubtful = evidence.bad || *rc::gen::inRange(0, 10) == 0;
                evidence.cause.reason = rollback_reason::latency;
                if (*rc::gen::inRange(0, 40) == 0)
                    site.version("v2").blocked = true;
                if (*rc::gen::inRange(0, 30) == 0)
                    site.version("v2").sharePermille = *rc::gen::inRange(0, 1001);
                const auto taken = site.now - before.stepBegan;
                const bool decided = site.decide(evidence);
                const move_record &after = site.record;

                RC_ASSERT(rankOf(after.state) >= rankOf(before.state));
                RC_ASSERT(!isFinal(before.state) || !decided);
                RC_ASSERT(after.step <= before.step + 1);
                RC_ASSERT(site.now >= after.plan.begin || after.step == 0);
                RC_ASSERT(after.sharePermille <= shareAfterStep(after.step, 1000));
                if (before.step > 0 && after.step > before.step) {
                    RC_ASSERT(!evidence.bad);
                    RC_ASSERT(!evidence.doubtful);
                    RC_ASSERT(evidence.requests >= site.timing.lowTrafficRequestsPerStep);
                    RC_ASSERT(taken >= site.timing.minStepDuration);
                }
                if (before.step > 0 && !isFinal(before.state) && evidence.bad)
                    RC_ASSERT(after.state == move_state::rolled_back);
                if (decided && !isFinal(after.state))
                    RC_ASSERT(site.version("v2").sharePermille <= after.sharePermille);
                if (after.state == move_state::rolled_back && decided) {
                    RC_ASSERT(site.version("v2").blocked);
                    RC_ASSERT(site.version("v2").sharePermille == 0);
                    RC_ASSERT(site.version("v1").sharePermille > 0);
                }
                RC_ASSERT(!wasBlocked || site.version("v2").blocked);
                wasBlocked = site.version("v2").blocked;
                site.now += std::chrono::seconds(*rc::gen::inRange(0, 200));
            }
        }));
    }
}

TEST_CASE("An availability zone leaves")
{
    simulated_move site(move_kind::zone_out);
    SUBCASE("at its begin, and is done when nothing can run there")
    {
        REQUIRE(site.decide());
        CHECK(site.current.zonesOut.contains("kl-a"));
        CHECK(site.record.state == move_state::moving);
        site.now += site.timing.inForce + site.timing.longestRequest - 1ms;
        CHECK(!site.decide());
        site.now += 1ms;
        CHECK(site.decide());
        CHECK(site.record.state == move_state::done);
    }
    SUBCASE("late if its time is too short, and still done in the end")
    {
        site.now = site.record.plan.finishBy - 1s;
        REQUIRE(site.decide());
        CHECK(site.record.state == move_state::late);
        site.now += 5min;
        CHECK(site.decide());
        CHECK(site.record.state == move_state::done);
    }
    SUBCASE("unless an operator brings it back meanwhile")
    {
        REQUIRE(site.decide());
        site.current.zonesOut.clear();
        CHECK(site.decide());
        CHECK(site.record.state == move_state::rolled_back);
        CHECK(site.record.cause.reason == rollback_reason::operator_change);
        CHECK(site.current.zonesOut.empty());
    }
}

TEST_CASE("An availability zone returns")
{
    simulated_move site(move_kind::zone_in);
    site.current.zonesOut = { "kl-a", "kl-b" };
    REQUIRE(site.decide());
    SUBCASE("alone")
    {
        CHECK(site.current.zonesOut == std::set<std::string> { "kl-b" });
    }
    SUBCASE("and is done when its targets had time to get warm")
    {
        site.now += site.timing.inForce + 5s - 1ms;
        CHECK(!site.decide());
        site.now += 1ms;
        CHECK(site.decide());
        CHECK(site.record.state == move_state::done);
    }
}
