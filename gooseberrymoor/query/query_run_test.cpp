#include "gooseberrymoor/query/query_run.h"

#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/query/extra_request_budget.h"
#include "gooseberrymoor/query/fixed_hedge_policy.h"
#include "gooseberrymoor/query/least_outstanding_selector.h"
#include "gooseberrymoor/query/snapshot_selector.h"
#include "gooseberrymoor/rollout/leaf_observation.h"
#include "gooseberrymoor/rollout/leaf_observer.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(1000) };
const time_point deadline = start + duration(300);

// A service with two shards in two groups of two targets each. The older snapshot has one shard.
std::shared_ptr<const configuration> makeTwoShardConfiguration()
{
    auto result = std::make_shared<configuration>();
    service_config service;
    service.name = "standings";
    for (const std::string group : { "g1", "g2" }) {
        service.groups.push_back(
            { group,
              { { group + "-a", { "127.0.0.1", 9001 }, "kl-a", "v1", false },
                { group + "-b", { "127.0.0.1", 9002 }, "kl-b", "v1", false } } });
    }
    service.snapshots
        = { { "old", { { "s1", "g1" } } }, { "new", { { "s1", "g1" }, { "s2", "g2" } } } };
    service.versions = { { "v1", 1000, false } };
    result->services["standings"] = service;
    return result;
}

std::shared_ptr<const leaf_candidate_table> makeRoutes(std::shared_ptr<const configuration> current)
{
    cell_view view;
    view.put({ "n1", 1, "kl-a", { "127.0.0.1", 7001 }, { "127.0.0.1", 8001 }, false });
    return std::make_shared<leaf_candidate_table>(std::move(current), view);
}

// The policies that the queries of one node share.
struct shared_policies
{
    query_policies policies(leaf_observer *observer = nullptr)
    {
        return { selector, hedging, budget, snapshots, random, observer };
    }

    least_outstanding_selector selector { 1 };
    fixed_hedge_policy hedging { duration(50) };
    extra_request_budget budget { 100 };
    snapshot_selector snapshots;
    std::mt19937_64 random { 1 };
};

class recording_observer : public leaf_observer
{
public:
    void onLeafEnded(const leaf_observation &observation) override
    {
        observations.push_back(observation);
    }

    std::vector<leaf_observation> observations;
};

leaf_response makeAnswer(const std::string &body, const std::string &snapshot = "new")
{
    return { 0, error_kind::none, verdict::completed, snapshot, body, 0 };
}

leaf_response makeFailure(error_kind kind, verdict outcome)
{
    return { 0, kind, outcome, "", "", 0 };
}

} // namespace

TEST_CASE("A query asks every shard of the newest snapshot")
{
    shared_policies shared;
    query_run run({ "standings", {}, "q", true, deadline }, makeRoutes(makeTwoShardConfiguration()),
                  shared.policies());
    const query_actions first = run.start(start);
    REQUIRE(first.sends.size() == 2);
    CHECK(first.sends[0].request.snapshot == "new");
    CHECK(first.sends[0].request.timeout < deadline - start);

    SUBCASE("and returns a complete answer when all shards have answered")
    {
        run.onResponse(1, makeAnswer("a"), start);
        run.onResponse(2, makeAnswer("b"), start);
        REQUIRE(run.isFinished());
        CHECK(run.answer().results.size() == 2);
        CHECK(run.answer().uncovered.empty());
    }
    SUBCASE("and accepts no part of another snapshot")
    {
        const auto retry = run.onResponse(1, makeAnswer("a", "old"), start);
        REQUIRE(retry.sends.size() == 1);
        CHECK(retry.sends[0].request.target != first.sends[0].request.target);
        run.onResponse(2, makeAnswer("b"), start);

        SUBCASE("but restarts on the other one when no target of a group has the first")
        {
            const auto second = run.onResponse(3, makeAnswer("a", "old"), start + duration(10));
            REQUIRE(second.sends.size() == 1);
            CHECK(second.sends[0].request.snapshot == "old");
            const int attempt = second.sends[0].attempt;
            run.onResponse(attempt, makeAnswer("c", "old"), start + duration(20));
            REQUIRE(run.isFinished());
            CHECK(run.answer().snapshot == "old");
            CHECK(run.answer().usedFallbackSnapshot);
            REQUIRE(run.answer().results.size() == 1);
            CHECK(run.answer().results[0].body == "c");
            CHECK(run.answer().uncovered.empty());
        }
        SUBCASE("and reports the shard as uncovered when too little time is left to restart")
        {
            run.onResponse(3, makeAnswer("a", "old"), start + duration(200));
            REQUIRE(run.isFinished());
            CHECK(run.answer().snapshot == "new");
            REQUIRE(run.answer().uncovered.size() == 1);
            CHECK(run.answer().uncovered[0].reason == error_kind::snapshot_unavailable);
            CHECK(run.answer().uncovered[0].outcome == verdict::completed);
        }
    }
    SUBCASE("and hedges to another target when the first is slow")
    {
        const auto hedge = run.onTime(start + duration(50));
        REQUIRE(hedge.sends.size() == 2);
        CHECK(hedge.sends[0].request.target != first.sends[0].request.target);

        SUBCASE("and cancels the slower attempt, whose late answer is ignored")
        {
            const auto afterHedgeAnswer
                = run.onResponse(hedge.sends[0].attempt, makeAnswer("hedge"), start);
            REQUIRE(afterHedgeAnswer.cancels.size() == 1);
            CHECK(afterHedgeAnswer.cancels[0] == first.sends[0].attempt);
            run.onResponse(first.sends[0].attempt, makeAnswer("late"), start);
            run.onResponse(2, makeAnswer("b"), start);
            REQUIRE(run.isFinished());
            CHECK(run.answer().results[0].body == "hedge");
        }
    }
    SUBCASE("and reports a shard as not run if its owner reports that in time")
    {
        run.onResponse(1, makeAnswer("a"), start);
        run.onResponse(2, makeFailure(error_kind::deadline_passed, verdict::not_run),
                       start + first.sends[1].request.timeout);
        REQUIRE(run.isFinished());
        REQUIRE(run.answer().uncovered.size() == 1);
        CHECK(run.answer().uncovered[0].reason == error_kind::deadline_passed);
        CHECK(run.answer().uncovered[0].outcome == verdict::not_run);
    }
    SUBCASE("and reports at the deadline which shards are missing")
    {
        run.onResponse(1, makeAnswer("a"), start);
        const auto atDeadline = run.onTime(deadline);
        CHECK(atDeadline.cancels.size() == 1);
        REQUIRE(run.isFinished());
        CHECK(run.answer().results.size() == 1);
        REQUIRE(run.answer().uncovered.size() == 1);
        CHECK(run.answer().uncovered[0].reason == error_kind::timed_out);
        CHECK(run.answer().uncovered[0].outcome == verdict::may_have_run);
    }
}

TEST_CASE("A request that is not idempotent")
{
    shared_policies shared;
    query_run run({ "standings", { "s1" }, "q", false, deadline },
                  makeRoutes(makeTwoShardConfiguration()), shared.policies());
    REQUIRE(run.start(start).sends.size() == 1);

    SUBCASE("is never hedged")
    {
        CHECK(run.onTime(start + duration(200)).sends.empty());
    }
    SUBCASE("is not sent again once it may have run")
    {
        const auto retry
            = run.onResponse(1, makeFailure(error_kind::target_lost, verdict::may_have_run), start);
        CHECK(retry.sends.empty());
        REQUIRE(run.isFinished());
        CHECK(run.answer().uncovered[0].outcome == verdict::may_have_run);
    }
    SUBCASE("goes to another target if it has definitely not run")
    {
        const auto retry
            = run.onResponse(1, makeFailure(error_kind::overloaded, verdict::not_run), start);
        CHECK(retry.sends.size() == 1);
    }
}

TEST_CASE("The observer sees the outcome of each leaf request")
{
    shared_policies shared;
    recording_observer observer;
    query_request request { "standings", { "s1" }, "q", true, deadline, "laps/live" };
    query_run run(request, makeRoutes(makeTwoShardConfiguration()), shared.policies(&observer));
    REQUIRE(run.start(start).sends.size() == 1);

    SUBCASE("once per answer, with version and route")
    {
        run.onResponse(1, makeAnswer("a"), start + duration(7));
        run.onResponse(1, makeAnswer("a"), start + duration(8));
        REQUIRE(observer.observations.size() == 1);
        CHECK(observer.observations[0].service == "standings");
        CHECK(observer.observations[0].version == "v1");
        CHECK(observer.observations[0].target.starts_with("g1-"));
        CHECK(observer.observations[0].route == "laps/live");
        CHECK(observer.observations[0].error == error_kind::none);
        CHECK(observer.observations[0].latency == duration(7));
    }
    SUBCASE("and for the slower attempt of a hedge, with the time until its cancellation")
    {
        REQUIRE(run.onTime(start + duration(50)).sends.size() == 1);
        run.onResponse(2, makeAnswer("a"), start + duration(60));
        REQUIRE(observer.observations.size() == 2);
        CHECK(observer.observations[1].error == error_kind::cancelled);
        CHECK(observer.observations[1].latency == duration(60));
    }
    SUBCASE("and when the caller abandons the query, which cancels its leaf requests")
    {
        const auto abandoned = run.abandon(start + duration(5));
        CHECK(abandoned.cancels.size() == 1);
        CHECK(run.isFinished());
        REQUIRE(observer.observations.size() == 1);
        CHECK(observer.observations[0].error == error_kind::cancelled);
    }
}

TEST_CASE("When all targets of a group refuse a request as not run")
{
    shared_policies shared;
    query_run run({ "standings", { "s1" }, "q", true, deadline },
                  makeRoutes(makeTwoShardConfiguration()), shared.policies());
    run.start(start);
    REQUIRE(
        run.onResponse(1, makeFailure(error_kind::overloaded, verdict::not_run), start).sends.size()
        == 1);
    const auto refused
        = run.onResponse(2, makeFailure(error_kind::overloaded, verdict::not_run), start);
    CHECK(refused.sends.empty());
    REQUIRE(!run.isFinished());

    SUBCASE("the query retries after a delay")
    {
        const time_point wake = run.nextWake();
        CHECK(wake > start);
        CHECK(wake < start + duration(50));
        REQUIRE(run.onTime(wake).sends.size() == 1);
        run.onResponse(3, makeFailure(error_kind::overloaded, verdict::not_run), wake);
        run.onResponse(4, makeFailure(error_kind::overloaded, verdict::not_run), wake);

        SUBCASE("but only once, and then reports the shard as not run")
        {
            REQUIRE(run.isFinished());
            CHECK(run.answer().uncovered[0].reason == error_kind::overloaded);
            CHECK(run.answer().uncovered[0].outcome == verdict::not_run);
        }
    }
    SUBCASE(
        "the shard is reported as not run even if the caller abandons the query before the retry")
    {
        run.abandon(start + duration(1));
        CHECK(run.answer().uncovered[0].outcome == verdict::not_run);
    }
}

TEST_CASE("A target that leaves while a query runs")
{
    shared_policies shared;
    query_run run({ "standings", { "s1" }, "q", true, deadline },
                  makeRoutes(makeTwoShardConfiguration()), shared.policies());
    const auto first = run.start(start);
    auto changed = std::make_shared<configuration>(*makeTwoShardConfiguration());
    for (target_config &target : changed->services["standings"].groups[0].targets) {
        if (target.name != first.sends[0].request.target)
            target.leaving = true;
    }
    run.setRoutes(makeRoutes(changed));

    SUBCASE("gets no more hedges")
    {
        CHECK(run.onTime(start + duration(50)).sends.empty());
    }
    SUBCASE("and no retry")
    {
        CHECK(
            run.onResponse(1, makeFailure(error_kind::target_failed, verdict::may_have_run), start)
                .sends.empty());
        CHECK(run.isFinished());
    }
}
