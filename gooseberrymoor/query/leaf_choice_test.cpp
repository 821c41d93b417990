#include "gooseberrymoor/query/version_choice.h"

#include "gooseberrymoor/query/extra_request_budget.h"
#include "gooseberrymoor/query/leaf_outcome.h"
#include "gooseberrymoor/query/quantile_hedge_policy.h"
#include "gooseberrymoor/query/two_choice_selector.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace gooseberrymoor;

namespace {

constexpr int draw_count = 4000;
const time_point now { duration(5000) };

leaf_candidate makeCandidate(const std::string &name, const std::string &version, int share)
{
    return { name, "standings/" + name, version, share, "kl-a", "n1" };
}

struct versioned_group
{
    std::vector<leaf_candidate> candidates;
    std::map<std::string, int> shares;
    int total = 0;
};

// Generates up to three versions with up to three targets each. Their shares need not sum to 1000.
versioned_group arbitraryGroup()
{
    versioned_group group;
    const int versions = *rc::gen::inRange(1, 4);
    for (int v = 0; v < versions; ++v) {
        const std::string version = "v" + std::to_string(v);
        const int share = *rc::gen::element(1, 10, 50, 500, 990, 1000);
        const int targets = *rc::gen::inRange(1, 4);
        for (int t = 0; t < targets; ++t)
            group.candidates.push_back(
                makeCandidate(version + "-" + std::to_string(t), version, share));
        group.shares[version] = share;
        group.total += share;
    }
    return group;
}

} // namespace

TEST_CASE("A version gets no more than its share")
{
    SUBCASE("of the first requests")
    {
        CHECK(rc::check([] {
            const versioned_group group = arbitraryGroup();
            std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
            std::map<std::string, int> chosen;
            for (int i = 0; i < draw_count; ++i) {
                const auto eligible = chooseVersion(group.candidates, {}, random);
                RC_ASSERT(!eligible.empty());
                ++chosen[group.candidates[eligible.front()].version];
            }
            for (const auto &[version, share] : group.shares) {
                const double expected = static_cast<double>(draw_count) * share / group.total;
                const double deviation = std::sqrt(expected) + 1;
                RC_ASSERT(std::abs(chosen[version] - expected) < 6 * deviation);
            }
        }));
    }
    SUBCASE("and all eligible targets are of one version, none of them excluded")
    {
        CHECK(rc::check([] {
            const versioned_group group = arbitraryGroup();
            std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
            std::vector<std::string> excluded;
            for (const leaf_candidate &candidate : group.candidates) {
                if (*rc::gen::arbitrary<bool>())
                    excluded.push_back(candidate.target);
            }
            const auto eligible = chooseVersion(group.candidates, excluded, random);
            for (const std::size_t index : eligible) {
                const leaf_candidate &candidate = group.candidates[index];
                RC_ASSERT(std::ranges::find(excluded, candidate.target) == excluded.end());
                RC_ASSERT(candidate.version == group.candidates[eligible.front()].version);
            }
        }));
    }
    SUBCASE("not even when all targets of the old version have been tried")
    {
        const std::vector<leaf_candidate> group { makeCandidate("old", "v1", 990),
                                                  makeCandidate("new", "v2", 10) };
        std::mt19937_64 random(1);
        int newVersionDraws = 0;
        for (int i = 0; i < draw_count; ++i)
            newVersionDraws += chooseVersion(group, { "old" }, random).empty() ? 0 : 1;
        CHECK(newVersionDraws > 0);
        CHECK(newVersionDraws < draw_count / 50);
        SUBCASE("while the old version takes over for the new one")
        {
            for (int i = 0; i < draw_count; ++i)
                REQUIRE(chooseVersion(group, { "new" }, random).size() == 1);
        }
    }
}

TEST_CASE("Of two targets the one with the shorter expected wait is chosen")
{
    two_choice_selector selector("kl-b", 1);
    std::vector<leaf_candidate> group { makeCandidate("a", "v1", 1000),
                                        makeCandidate("b", "v1", 1000) };
    group[1].availabilityZone = "kl-b";
    const std::vector<std::size_t> both { 0, 1 };

    SUBCASE("the one in the same availability zone if both are equal")
    {
        for (int i = 0; i < 20; ++i)
            CHECK(selector.choose(group, both, now) == 1);
    }
    SUBCASE("the one in another zone if the local one has an outstanding request")
    {
        selector.onSent("standings/b");
        CHECK(selector.choose(group, both, now) == 0);
        SUBCASE("until that request ends")
        {
            selector.onEnded("standings/b", { error_kind::none, duration(1), 0 }, now);
            CHECK(selector.choose(group, both, now) == 1);
        }
    }
    SUBCASE("where a long queue at the owner adds to the wait")
    {
        selector.onEnded("standings/b", { error_kind::none, duration(1), 9 }, now);
        CHECK(selector.choose(group, both, now) == 0);
    }
    SUBCASE("and one that fails fast gets no traffic until its statistics have decayed")
    {
        selector.onEnded("standings/a", { error_kind::none, duration(20), 0 }, now);
        selector.onEnded("standings/b", { error_kind::target_failed, duration(1), 0 }, now);
        CHECK(selector.choose(group, both, now + duration(500)) == 0);
        CHECK(selector.choose(group, both, now + duration(20'000)) == 1);
    }
}

TEST_CASE("A request is hedged when it takes longer than most")
{
    quantile_hedge_policy policy(5);
    const duration defaultDelay = policy.delay("standings").value();
    CHECK(defaultDelay == duration(50));

    SUBCASE("with a delay that follows the latency of its service")
    {
        for (int i = 0; i < 1000; ++i)
            policy.onEnded("standings", duration(i % 100 < 98 ? 10 : 200));
        CHECK(policy.delay("standings").value() >= duration(10));
        CHECK(policy.delay("standings").value() <= duration(12));
        CHECK(policy.delay("fares").value() == defaultDelay);

        SUBCASE("and grows when all answers slow down")
        {
            for (int i = 0; i < 8000; ++i)
                policy.onEnded("standings", duration(100));
            CHECK(policy.delay("standings").value() >= duration(100));
        }
    }
    SUBCASE("or never, if no extra requests are allowed")
    {
        CHECK(!quantile_hedge_policy(0).delay("standings"));
    }
}

TEST_CASE("Hedges and retries share one budget")
{
    extra_request_budget budget(5);
    SUBCASE("that prefers queries with few open shards")
    {
        while (budget.available() > 20)
            budget.tryTakeRetry();
        CHECK(!budget.tryTakeHedge(20));
        CHECK(budget.tryTakeHedge(2));
    }
    SUBCASE("with a reserve for retries")
    {
        while (budget.tryTakeHedge(1)) { }
        CHECK(budget.available() > 0);
        CHECK(budget.tryTakeRetry());
    }
    SUBCASE("that first requests refill")
    {
        while (budget.tryTakeRetry()) { }
        for (int i = 0; i < 19; ++i)
            budget.onFirstRequestSent();
        CHECK(!budget.tryTakeRetry());
        budget.onFirstRequestSent();
        CHECK(budget.tryTakeRetry());
    }
    SUBCASE("that a restarted query may overdraw up to a limit")
    {
        CHECK(budget.tryBorrow(160));
        CHECK(!budget.tryTakeRetry());
        CHECK(budget.tryBorrow(160));
        CHECK(!budget.tryBorrow(160));
    }
}
