#include "gooseberrymoor/query/query_run.h"

#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/query/fixed_hedge_policy.h"
#include "gooseberrymoor/query/least_outstanding_selector.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(1000) };
const time_point deadline = start + duration(300);

// A service of two shards in two groups with two targets each.
std::shared_ptr<const configuration> twoShards()
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

std::shared_ptr<const routing_table> routesFor(std::shared_ptr<const configuration> current)
{
    cell_view view;
    view.put({ "n1", 1, "kl-a", { "127.0.0.1", 7001 }, { "127.0.0.1", 8001 }, false });
    return std::make_shared<routing_table>(std::move(current), view);
}

leaf_response answered(const std::string &body, const std::string &snapshot = "new")
{
    return { 0, error_kind::none, verdict::completed, snapshot, body, 0 };
}

leaf_response failed(error_kind kind, verdict outcome)
{
    return { 0, kind, outcome, "", "", 0 };
}

} // namespace

TEST_CASE("A query asks every shard of the newest snapshot")
{
    least_outstanding_selector selector(1);
    fixed_hedge_policy hedging(duration(50), 100);
    query_run run({ "standings", {}, "q", true, deadline }, routesFor(twoShards()), selector,
                  hedging);
    const query_actions first = run.start(start);
    REQUIRE(first.sends.size() == 2);
    CHECK(first.sends[0].request.snapshot == "new");

    SUBCASE("and is whole when all have answered")
    {
        run.onResponse(1, answered("a"), start);
        run.onResponse(2, answered("b"), start);
        REQUIRE(run.isFinished());
        CHECK(run.answer().results.size() == 2);
        CHECK(run.answer().uncovered.empty());
    }
    SUBCASE("and takes no part of another snapshot")
    {
        run.onResponse(1, answered("a", "old"), start);
        const auto again = run.onResponse(3, answered("a", "old"), start);
        CHECK(again.sends.empty());
        run.onResponse(2, answered("b"), start);
        REQUIRE(run.isFinished());
        REQUIRE(run.answer().uncovered.size() == 1);
        CHECK(run.answer().uncovered[0].reason == error_kind::snapshot_unavailable);
    }
    SUBCASE("and asks another target when the first is slow")
    {
        const auto hedge = run.onTime(start + duration(50));
        REQUIRE(hedge.sends.size() == 2);
        CHECK(hedge.sends[0].request.target != first.sends[0].request.target);

        SUBCASE("and cancels the loser, whose late answer changes nothing")
        {
            const auto won = run.onResponse(hedge.sends[0].attempt, answered("hedge"), start);
            REQUIRE(won.cancels.size() == 1);
            CHECK(won.cancels[0] == first.sends[0].attempt);
            run.onResponse(first.sends[0].attempt, answered("late"), start);
            run.onResponse(2, answered("b"), start);
            REQUIRE(run.isFinished());
            CHECK(run.answer().results[0].body == "hedge");
        }
    }
    SUBCASE("and says at its deadline what is missing")
    {
        run.onResponse(1, answered("a"), start);
        const auto late = run.onTime(deadline);
        CHECK(late.cancels.size() == 1);
        REQUIRE(run.isFinished());
        CHECK(run.answer().results.size() == 1);
        REQUIRE(run.answer().uncovered.size() == 1);
        CHECK(run.answer().uncovered[0].reason == error_kind::timed_out);
        CHECK(run.answer().uncovered[0].outcome == verdict::may_have_run);
    }
}

TEST_CASE("A request that is not idempotent")
{
    least_outstanding_selector selector(1);
    fixed_hedge_policy hedging(duration(50), 100);
    query_run run({ "standings", { "s1" }, "q", false, deadline }, routesFor(twoShards()), selector,
                  hedging);
    REQUIRE(run.start(start).sends.size() == 1);

    SUBCASE("is never hedged")
    {
        CHECK(run.onTime(start + duration(200)).sends.empty());
    }
    SUBCASE("is not sent again once it may have run")
    {
        const auto again
            = run.onResponse(1, failed(error_kind::target_lost, verdict::may_have_run), start);
        CHECK(again.sends.empty());
        REQUIRE(run.isFinished());
        CHECK(run.answer().uncovered[0].outcome == verdict::may_have_run);
    }
    SUBCASE("goes to another target if it has surely not run")
    {
        const auto again
            = run.onResponse(1, failed(error_kind::overloaded, verdict::not_run), start);
        CHECK(again.sends.size() == 1);
    }
}
