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

// A configuration with one service of two versions, and one move of the service or of its zone.
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

    // Decides once and applies the step, if any. Returns whether there was one.
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

version_comparison sufficientRequests()
{
    version_comparison evidence;
    evidence.requests = 1'000'000;
    return evidence;
}

version_comparison badResult()
{
    version_comparison evidence = sufficientRequests();
    evidence.bad = true;
    evidence.cause = { rollback_reason::errors, "/laps", "new 9 of 10" };
    return evidence;
}

int stateRank(move_state state)
{
    return isFinal(state) ? static_cast<int>(move_state::done) : static_cast<int>(state);
}

} // namespace

TEST_CASE("A version move")
{
    simulated_move simulation;
    SUBCASE("starts at its begin time")
    {
        simulation.now = start - 1ms;
        CHECK(!simulation.decide(sufficientRequests()));
        simulation.now = start;
        CHECK(simulation.decide(sufficientRequests()));
        CHECK(simulation.record.state == move_state::moving);
        CHECK(simulation.version("v2").sharePermille == rollout_shares_permille.front());
        CHECK(simulation.version("v1").sharePermille == 1000 - rollout_shares_permille.front());

        SUBCASE("and takes each step only after enough time and requests")
        {
            simulation.now += 5min;
            CHECK(!simulation.decide(sufficientRequests()));
            simulation.now += 5min;
            CHECK(!simulation.decide());
            CHECK(simulation.decide(sufficientRequests()));
            CHECK(simulation.record.step == 2);
        }
        SUBCASE("and keeps the minimum step duration even if it is late")
        {
            simulation.now = simulation.record.plan.finishBy;
            CHECK(simulation.decide(sufficientRequests()));
            CHECK(simulation.record.state == move_state::late);
            CHECK(!simulation.decide(sufficientRequests()));
            simulation.now += simulation.timing.minStepDuration;
            CHECK(simulation.decide(sufficientRequests()));
            CHECK(simulation.record.state == move_state::late);
        }
        SUBCASE("and holds its share while the new version is doubtful")
        {
            version_comparison evidence = sufficientRequests();
            evidence.doubtful = true;
            simulation.now += 30min;
            CHECK(!simulation.decide(evidence));
            CHECK(simulation.decide(sufficientRequests()));
        }
        SUBCASE("and a bad version is blocked and rolled back in one step")
        {
            CHECK(simulation.decide(badResult()));
            CHECK(simulation.record.state == move_state::rolled_back);
            CHECK(simulation.record.cause.route == "/laps");
            CHECK(simulation.version("v2").blocked);
            CHECK(simulation.version("v2").sharePermille == 0);
            CHECK(simulation.version("v1").sharePermille == 1000);
            CHECK(!simulation.decide(sufficientRequests()));
        }
        SUBCASE("and is rolled back when an operator blocks the new version")
        {
            simulation.version("v2").blocked = true;
            CHECK(simulation.decide(sufficientRequests()));
            CHECK(simulation.record.cause.reason == rollback_reason::blocked);
            CHECK(simulation.version("v1").sharePermille == 1000);
        }
        SUBCASE("and lowers a share that an operator raised above the plan")
        {
            simulation.version("v2").sharePermille = 800;
            CHECK(simulation.decide());
            CHECK(simulation.version("v2").sharePermille == rollout_shares_permille.front());
        }
        SUBCASE("and is rolled back when the new version is removed from the configuration")
        {
            simulation.current.services["standings"].versions.pop_back();
            CHECK(simulation.decide(sufficientRequests()));
            CHECK(simulation.record.cause.reason == rollback_reason::configuration);
        }
    }
    SUBCASE("keeps traffic on the old version until the last step")
    {
        for (int step = 1; step < rollout_step_count; ++step)
            CHECK(shareAfterStep(step, 1000) <= 900);
        CHECK(shareAfterStep(rollout_step_count, 1000) == 1000);
        CHECK(shareAfterStep(rollout_step_count, 400) == 400);
    }
    SUBCASE("that starts too late is marked late and still starts with the smallest share")
    {
        simulation.now = simulation.record.plan.finishBy - 1min;
        REQUIRE(simulation.decide(sufficientRequests()));
        CHECK(simulation.record.state == move_state::late);
        CHECK(simulation.record.sharePermille == rollout_shares_permille.front());
    }
}

TEST_CASE("A good version is rolled out in time")
{
    SUBCASE("if the planned time fits all steps, at any polling times")
    {
        CHECK(rc::check([] {
            const auto planned = std::chrono::seconds(*rc::gen::inRange(400, 20'000));
            simulated_move simulation(move_kind::version, planned);
            while (!isFinal(simulation.record.state)) {
                simulation.decide(sufficientRequests());
                simulation.now += std::chrono::milliseconds(*rc::gen::inRange(100, 7000));
                RC_ASSERT(simulation.now <= simulation.record.plan.finishBy);
            }
            RC_ASSERT(simulation.record.state == move_state::done);
            RC_ASSERT(simulation.version("v2").sharePermille == 1000);
            RC_ASSERT(simulation.version("v1").sharePermille == 0);
        }));
    }
}

TEST_CASE("A version move under random evidence and operator changes")
{
    SUBCASE("advances one step at a time and only on evidence, and is final after a rollback")
    {
        CHECK(rc::check([] {
            simulated_move simulation(move_kind::version,
                                      std::chrono::seconds(*rc::gen::inRange(30, 5000)));
            simulation.now -= std::chrono::seconds(*rc::gen::inRange(0, 60));
            const int events = *rc::gen::inRange(1, 120);
            bool wasBlocked = false;
            for (int i = 0; i < events; ++i) {
                const move_record before = simulation.record;
                version_comparison evidence;
                evidence.requests = static_cast<std::uint64_t>(*rc::gen::inRange(0, 700));
                evidence.bad = *rc::gen::inRange(0, 60) == 0;
                evidence.doubtful = evidence.bad || *rc::gen::inRange(0, 10) == 0;
                evidence.cause.reason = rollback_reason::latency;
                if (*rc::gen::inRange(0, 40) == 0)
                    simulation.version("v2").blocked = true;
                if (*rc::gen::inRange(0, 30) == 0)
                    simulation.version("v2").sharePermille = *rc::gen::inRange(0, 1001);
                const auto elapsed = simulation.now - before.stepBegan;
                const bool decided = simulation.decide(evidence);
                const move_record &after = simulation.record;

                RC_ASSERT(stateRank(after.state) >= stateRank(before.state));
                RC_ASSERT(!isFinal(before.state) || !decided);
                RC_ASSERT(after.step <= before.step + 1);
                RC_ASSERT(simulation.now >= after.plan.begin || after.step == 0);
                RC_ASSERT(after.sharePermille <= shareAfterStep(after.step, 1000));
                if (before.step > 0 && after.step > before.step) {
                    RC_ASSERT(!evidence.bad);
                    RC_ASSERT(!evidence.doubtful);
                    RC_ASSERT(evidence.requests >= simulation.timing.lowTrafficRequestsPerStep);
                    RC_ASSERT(elapsed >= simulation.timing.minStepDuration);
                }
                if (before.step > 0 && !isFinal(before.state) && evidence.bad)
                    RC_ASSERT(after.state == move_state::rolled_back);
                if (decided && !isFinal(after.state))
                    RC_ASSERT(simulation.version("v2").sharePermille <= after.sharePermille);
                if (after.state == move_state::rolled_back && decided) {
                    RC_ASSERT(simulation.version("v2").blocked);
                    RC_ASSERT(simulation.version("v2").sharePermille == 0);
                    RC_ASSERT(simulation.version("v1").sharePermille > 0);
                }
                RC_ASSERT(!wasBlocked || simulation.version("v2").blocked);
                wasBlocked = simulation.version("v2").blocked;
                simulation.now += std::chrono::seconds(*rc::gen::inRange(0, 200));
            }
        }));
    }
}

TEST_CASE("An availability zone is taken out")
{
    simulated_move simulation(move_kind::zone_out);
    SUBCASE("at the begin time, and the move is done when no request can still run there")
    {
        REQUIRE(simulation.decide());
        CHECK(simulation.current.zonesOut.contains("kl-a"));
        CHECK(simulation.record.state == move_state::moving);
        simulation.now
            += simulation.timing.configurationDelay + simulation.timing.longestRequest - 1ms;
        CHECK(!simulation.decide());
        simulation.now += 1ms;
        CHECK(simulation.decide());
        CHECK(simulation.record.state == move_state::done);
    }
    SUBCASE("late if the planned time is too short, and still completely")
    {
        simulation.now = simulation.record.plan.finishBy - 1s;
        REQUIRE(simulation.decide());
        CHECK(simulation.record.state == move_state::late);
        simulation.now += 5min;
        CHECK(simulation.decide());
        CHECK(simulation.record.state == move_state::done);
    }
    SUBCASE("and the move is rolled back if an operator returns the zone")
    {
        REQUIRE(simulation.decide());
        simulation.current.zonesOut.clear();
        CHECK(simulation.decide());
        CHECK(simulation.record.state == move_state::rolled_back);
        CHECK(simulation.record.cause.reason == rollback_reason::operator_change);
        CHECK(simulation.current.zonesOut.empty());
    }
}

TEST_CASE("An availability zone is returned")
{
    simulated_move simulation(move_kind::zone_in);
    simulation.current.zonesOut = { "kl-a", "kl-b" };
    REQUIRE(simulation.decide());
    SUBCASE("without other zones")
    {
        CHECK(simulation.current.zonesOut == std::set<std::string> { "kl-b" });
    }
    SUBCASE("and the move is done when its targets have had time to warm up")
    {
        simulation.now += simulation.timing.configurationDelay + 5s - 1ms;
        CHECK(!simulation.decide());
        simulation.now += 1ms;
        CHECK(simulation.decide());
        CHECK(simulation.record.state == move_state::done);
    }
}
