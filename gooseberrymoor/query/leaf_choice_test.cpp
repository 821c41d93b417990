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

constexpr int draws = 4000;
const time_point now { duration(5000) };

leaf_candidate candidateOf(const std::string &name, const std::string &version, int share)
{
    return { name, "standings/" + name, version, share, "kl-a", "n1" };
}

struct group_of_versions
{
    std::vector<leaf_candidate> candidates;
    std::map<std::string, int> shares;
    int total = 0;
};

// Up to three versions with shares that need not add up to 1000, each with up to three targets.
group_of_versions anyGroup()
{
    group_of_versions group;
    const int versions = *rc::gen::inRange(1, 4);
    for (int v = 0; v < versions; ++v) {
        const std::string version = "v" + std::to_string(v);
        const int share = *rc::gen::element(1, 10, 50, 500, 990, 1000);
        const int targets = *rc::gen::inRange(1, 4);
        for (int t = 0; t < targets; ++t)
            group.candidates.push_back(
                candidateOf(version + "-" + std::to_string(t), version, share));
        group.shares[version] = share;
        group.total += share;
    }
    return group;
}

} // namespace

TEST_CASE("A version gets no more than its share")
{
    SUBCASE("of first choices")
    {
        CHECK(rc::check([] {
            const group_of_versions group = anyGroup();
            std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
            std::map<std::string, int> chosen;
            for (int i = 0; i < draws; ++i) {
                const auto eligible = chooseVersion(group.candidates, {}, random);
                RC_ASSERT(!eligible.empty());
                ++chosen[group.candidates[eligible.front()].version];
            }
            for (const auto &[version, share] : group.shares) {
                const double expected = static_cast<double>(draws) * share / group.total;
                const double deviation = std::sqrt(expected) + 1;
                RC_ASSERT(std::abs(chosen[version] - expected) < 6 * deviation);
            }
        }));
    }
    SUBCASE("and its targets stand for one version only, none of them excluded")
    {
        CHECK(rc::check([] {
            const group_of_versions group = anyGroup();
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
    SUBCASE("not even when the targets of the old version have all been asked")
    {
        const std::vector<leaf_candidate> group { candidateOf("old", "v1", 990),
                                                  candidateOf("new", "v2", 10) };
        std::mt19937_64 random(1);
        int taken = 0;
        for (int i = 0; i < draws; ++i)
            taken += chooseVersion(group, { "old" }, random).empty() ? 0 : 1;
        CHECK(taken > 0);
        CHECK(taken < draws / 50);
        SUBCASE("while the old one stands in for the new one")
        {
            for (int i = 0; i < draws; ++i)
                REQUIRE(chooseVersion(group, { "new" }, random).size() == 1);
        }
    }
}

TEST_CASE("Of two targets the one with the shorter wait is chosen")
{
    two_choice_selector selector("kl-b", 1);
    std::vector<leaf_candidate> group { candidateOf("a", "v1", 1000),
                                        candidateOf("b", "v1", 1000) };
    group[1].availabilityZone = "kl-b";
    const std::vector<std::size_t> both { 0, 1 };

    SUBCASE("in the own availability zone while both are equal")
    {
        for (int i = 0; i < 20; ++i)
            CHECK(selector.choose(group, both, now) == 1);
    }
    SUBCASE("outside of it when the near one has more to do")
    {
        selector.onSent("standings/b");
        CHECK(selector.choose(group, both, now) == 0);
        SUBCASE("until that has ended")
        {
            selector.onEnded("standings/b", { error_kind::none, duration(1), 0 }, now);
            CHECK(selector.choose(group, both, now) == 1);
        }
    }
    SUBCASE("which a long queue at the owner makes longer")
    {
        selector.onEnded("standings/b", { error_kind::none, duration(1), 9 }, now);
        CHECK(selector.choose(group, both, now) == 0);
    }
    SUBCASE("and one that fails fast draws nothing, until that is forgotten")
    {
        selector.onEnded("standings/a", { error_kind::none, duration(20), 0 }, now);
        selector.onEnded("standings/b", { error_kind::target_failed, duration(1), 0 }, now);
        CHECK(selector.choose(group, both, now + duration(500)) == 0);
        CHECK(selector.choose(group, both, now + duration(20'000)) == 1);
    }
}

TEST_CASE("A hedge goes out when an answer takes longer than most")
{
    quantile_hedge_policy policy(5);
    const duration unknown = policy.delay("standings").value();
    CHECK(unknown == duration(50));

    SUBCASE("and the delay follows the service")
    {
        for (int i = 0; i < 1000; ++i)
            policy.onEnded("standings", duration(i % 100 < 98 ? 10 : 200));
        CHECK(policy.delay("standings").value() >= duration(10));
        CHECK(policy.delay("standings").value() <= duration(12));
        CHECK(policy.delay("fares").value() == unknown);

        SUBCASE("up when all of it slows down")
        {
            for (int i = 0; i < 8000; ++i)
                policy.onEnded("standings", duration(100));
            CHECK(policy.delay("standings").value() >= duration(100));
        }
    }
    SUBCASE("or never, when nothing extra is allowed")
    {
        CHECK(!quantile_hedge_policy(0).delay("standings"));
    }
}

TEST_CASE("Hedges and retries have one budget")
{
    extra_request_budget budget(5);
    SUBCASE("that pays for queries that lack little, before those that lack much")
    {
        while (budget.available() > 20)
            budget.takeRetry();
        CHECK(!budget.takeHedge(20));
        CHECK(budget.takeHedge(2));
    }
    SUBCASE("of which a part is kept for retries")
    {
        while (budget.takeHedge(1)) { }
        CHECK(budget.available() > 0);
        CHECK(budget.takeRetry());
    }
    SUBCASE("that is earned by first requests")
    {
        while (budget.takeRetry()) { }
        for (int i = 0; i < 19; ++i)
            budget.onFirstSent();
        CHECK(!budget.takeRetry());
        budget.onFirstSent();
        CHECK(budget.takeRetry());
    }
    SUBCASE("that may be overdrawn for a query that is asked again, within bounds")
    {
        CHECK(budget.borrow(160));
        CHECK(!budget.takeRetry());
        CHECK(budget.borrow(160));
        CHECK(!budget.borrow(160));
    }
}
