#include "gooseberrymoor/forward/request_run.h"

#include "gooseberrymoor/forward/repeat_budget.h"
#include "gooseberrymoor/replica/replica_selector.h"
#include "gooseberrymoor/replica/replica_set.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(100'000) };

// Chooses the first target that is not excluded, of as many as the service has.
class scripted_selector : public replica_selector
{
public:
    std::shared_ptr<known_replica>
    choose(const std::string &service, const std::set<std::string> &excluded, time_point) override
    {
        for (int i = 0; i < targets[service]; ++i) {
            const std::string id = service + "-" + std::to_string(i);
            if (excluded.contains(id))
                continue;
            auto target = std::make_shared<known_replica>();
            target->entry.id = id;
            return target;
        }
        return nullptr;
    }

    std::map<std::string, int> targets;
};

run_plan shardedPlan(std::size_t shards)
{
    run_plan plan;
    for (std::size_t i = 0; i < shards; ++i)
        plan.services.push_back("s" + std::to_string(i));
    plan.isSharded = true;
    plan.maxAttempts = 2;
    plan.minSuccessShare = 0.75;
    plan.hedgeDelay = duration(20);
    plan.answerBy = start + duration(50);
    plan.deadline = start + duration(400);
    return plan;
}

run_plan singlePlan(request_kind kind)
{
    run_plan plan;
    plan.services.push_back("registry");
    plan.kind = kind;
    plan.maxAttempts = 2;
    plan.hedgeDelay = kind == request_kind::idempotent ? duration(200) : duration(0);
    plan.answerBy = start + duration(600);
    plan.deadline = start + duration(4000);
    return plan;
}

struct fixture
{
    fixture()
    {
        for (int i = 0; i < 4; ++i)
            selector.targets["s" + std::to_string(i)] = 3;
        selector.targets["registry"] = 3;
    }

    scripted_selector selector;
    repeat_budget budget { { 0.2, 50, duration(10'000) } };
};

} // namespace

TEST_CASE("A request to many shards")
{
    fixture site;
    request_run run(shardedPlan(4), site.selector, site.budget);
    const auto first = run.start(start);
    REQUIRE(first.size() == 4);
    const auto answer = [&](std::size_t shard, time_point now) {
        return run.onEnding(shard, first[shard].attempt, attempt_outcome::answered, now);
    };

    SUBCASE("is complete when every shard has answered")
    {
        for (std::size_t shard = 0; shard < 4; ++shard)
            answer(shard, start + duration(10));
        CHECK(run.isComplete(start + duration(10)));
        CHECK(run.answered() == 4);
    }
    SUBCASE("with one silent shard")
    {
        for (std::size_t shard = 0; shard < 3; ++shard)
            answer(shard, start + duration(10));
        CHECK(!run.isComplete(start + duration(10)));
        SUBCASE("asks a second target after the hedge delay, and none before")
        {
            CHECK(run.onTime(start + duration(19)).empty());
            const auto hedge = run.onTime(start + duration(20));
            REQUIRE(hedge.size() == 1);
            CHECK(hedge.front().reason == send_reason::hedge);
            CHECK(hedge.front().target->entry.id != first[3].target->entry.id);
            SUBCASE("and takes whichever answers, once")
            {
                run.onEnding(3, hedge.front().attempt, attempt_outcome::answered,
                             start + duration(30));
                CHECK(run.isComplete(start + duration(30)));
                answer(3, start + duration(31));
                CHECK(run.answered() == 4);
            }
            SUBCASE("and asks no third one, for two attempts are allowed")
            {
                CHECK(run.onTime(start + duration(45)).empty());
            }
        }
        SUBCASE("answers with the rest when the time has come that the answer must leave")
        {
            CHECK(run.isComplete(start + duration(50)));
            CHECK(run.isSuccess());
            CHECK(run.answered() == 3);
        }
        SUBCASE("answers with the rest at once when nothing is under way for it any more")
        {
            const auto retry
                = run.onEnding(3, first[3].attempt, attempt_outcome::lost, start + duration(12));
            REQUIRE(retry.size() == 1);
            run.onEnding(3, retry.front().attempt, attempt_outcome::lost, start + duration(14));
            CHECK(run.isComplete(start + duration(14)));
            CHECK(run.isSuccess());
        }
    }
    SUBCASE("of which most are silent hedges none of them, for the cause is not one target")
    {
        answer(0, start + duration(10));
        CHECK(run.onTime(start + duration(30)).empty());
    }
    SUBCASE("with too many silent shards")
    {
        answer(0, start + duration(10));
        answer(1, start + duration(10));
        SUBCASE("waits beyond that time until enough are in")
        {
            CHECK(!run.isComplete(start + duration(60)));
            answer(2, start + duration(70));
            CHECK(run.isComplete(start + duration(70)));
            CHECK(run.isSuccess());
        }
        SUBCASE("ends without success at the deadline")
        {
            CHECK(run.isComplete(start + duration(400)));
            CHECK(!run.isSuccess());
        }
    }
}

TEST_CASE("A shard whose target refuses while the budget is used up")
{
    scripted_selector selector;
    selector.targets["s0"] = 3;
    repeat_budget none { { 0, 0, duration(10'000) } };
    run_plan plan = shardedPlan(1);
    plan.minSuccessShare = 1;
    request_run run(plan, selector, none);
    const auto first = run.start(start);
    REQUIRE(first.size() == 1);
    CHECK(run.onEnding(0, first[0].attempt, attempt_outcome::refused, start + duration(2)).empty());
    SUBCASE("is not given up while it may still be asked again")
    {
        CHECK(!run.isComplete(start + duration(2)));
        CHECK(run.nextWake(start + duration(2)) <= start + duration(20));
    }
}

TEST_CASE("A shard whose target lost the answer while the budget is used up")
{
    scripted_selector selector;
    selector.targets["s0"] = 3;
    repeat_budget none { { 0, 0, duration(10'000) } };
    run_plan plan = shardedPlan(1);
    plan.minSuccessShare = 1;
    request_run run(plan, selector, none);
    const auto first = run.start(start);
    REQUIRE(first.size() == 1);
    CHECK(run.onEnding(0, first[0].attempt, attempt_outcome::lost, start + duration(2)).empty());
    SUBCASE("is given up at once, while the caller still has the time to come back")
    {
        CHECK(run.isComplete(start + duration(2)));
        CHECK(!run.isSuccess());
        CHECK(!run.hasDefinitelyNotRun());
    }
}

TEST_CASE("A request that must not run twice")
{
    fixture site;
    request_run run(singlePlan(request_kind::non_idempotent), site.selector, site.budget);
    const auto first = run.start(start);
    REQUIRE(first.size() == 1);

    SUBCASE("goes to another target when the first has surely not run it")
    {
        for (const attempt_outcome ending :
             { attempt_outcome::refused, attempt_outcome::misdirected,
               attempt_outcome::unreachable }) {
            request_run again(singlePlan(request_kind::non_idempotent), site.selector, site.budget);
            const auto sent = again.start(start);
            const auto retry = again.onEnding(0, sent.front().attempt, ending, start + duration(5));
            REQUIRE(retry.size() == 1);
            CHECK(retry.front().target->entry.id != sent.front().target->entry.id);
        }
    }
    SUBCASE("goes nowhere else once it may have run")
    {
        for (const attempt_outcome ending :
             { attempt_outcome::lost, attempt_outcome::timed_out, attempt_outcome::failed,
               attempt_outcome::abandoned }) {
            request_run again(singlePlan(request_kind::non_idempotent), site.selector, site.budget);
            const auto sent = again.start(start);
            CHECK(again.onEnding(0, sent.front().attempt, ending, start + duration(5)).empty());
            CHECK(again.isComplete(start + duration(5)));
            CHECK(!again.hasDefinitelyNotRun());
        }
    }
    SUBCASE("is never hedged")
    {
        CHECK(run.onTime(start + duration(1000)).empty());
        CHECK(run.nextWake(start) == start + duration(4000));
    }
    SUBCASE("has surely not run when every target refused it")
    {
        auto sends = first;
        time_point now = start;
        while (!run.isComplete(now)) {
            now += duration(20);
            if (sends.empty())
                sends = run.onTime(now);
            else
                sends = run.onEnding(0, sends.front().attempt, attempt_outcome::refused, now);
        }
        CHECK(run.hasDefinitelyNotRun());
        CHECK(now < start + duration(400));
    }
}

TEST_CASE("A request whose shards mostly have no target, as after a restart")
{
    fixture site;
    site.selector.targets["s0"] = 0;
    site.selector.targets["s1"] = 0;
    request_run run(shardedPlan(4), site.selector, site.budget);

    SUBCASE("is sent nowhere and refused at once, as not run")
    {
        CHECK(run.start(start).empty());
        CHECK(run.isComplete(start));
        CHECK(run.hasDefinitelyNotRun());
        CHECK(!run.isSuccess());
    }
}

TEST_CASE("A service without any target")
{
    fixture site;
    site.selector.targets["registry"] = 0;
    request_run run(singlePlan(request_kind::idempotent), site.selector, site.budget);
    CHECK(run.start(start).empty());
    SUBCASE("is refused at once, as not run")
    {
        CHECK(run.isComplete(start));
        CHECK(run.hasDefinitelyNotRun());
    }
}

TEST_CASE("Whatever happens to a request")
{
    CHECK(rc::check("no shard is run more often than allowed, and it ends by its deadline", [] {
        fixture site;
        const bool isSharded = *rc::gen::arbitrary<bool>();
        const auto kind = *rc::gen::element(request_kind::idempotent, request_kind::non_idempotent);
        run_plan plan = isSharded ? shardedPlan(4) : singlePlan(kind);
        const time_point deadline = plan.deadline;
        const std::size_t shards = plan.services.size();
        request_run run(plan, site.selector, site.budget);
        std::vector<int> mayHaveRun(shards, 0);
        std::vector<planned_attempt> open = run.start(start);
        time_point now = start;
        while (!run.isComplete(now)) {
            now = std::max(now + duration(1), now + duration(*rc::gen::inRange(0, 30)));
            std::vector<planned_attempt> more;
            if (!open.empty() && *rc::gen::arbitrary<bool>()) {
                const auto index = *rc::gen::inRange<std::size_t>(0, open.size());
                const planned_attempt each = open[index];
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
                const auto ending
                    = *rc::gen::element(attempt_outcome::answered, attempt_outcome::failed,
                                        attempt_outcome::refused, attempt_outcome::unreachable,
                                        attempt_outcome::lost, attempt_outcome::timed_out);
                if (!hasNotRun(ending))
                    ++mayHaveRun[each.shard];
                more = run.onEnding(each.shard, each.attempt, ending, now);
            } else {
                more = run.onTime(now);
            }
            open.insert(open.end(), more.begin(), more.end());
        }
        RC_ASSERT(now <= deadline + duration(30));
        for (const planned_attempt &each : open)
            ++mayHaveRun[each.shard];
        const bool atMostOnce = !isSharded && kind == request_kind::non_idempotent;
        for (const int runs : mayHaveRun)
            RC_ASSERT(runs <= (atMostOnce ? 1 : 2));
    }));
}

TEST_CASE("What a fleet sends again")
{
    CHECK(rc::check("keeps to its budget in any window, summed over all nodes", [] {
        const repeat_limits limits { 0.2, 58, duration(10'000) };
        const std::size_t nodes = *rc::gen::inRange<std::size_t>(1, 12);
        std::vector<repeat_budget> budgets(nodes, repeat_budget(limits));
        for (repeat_budget &each : budgets)
            each.setNodes(nodes);
        const int requestsPerStep = *rc::gen::inRange(0, 4);
        std::deque<time_point> requests;
        std::deque<time_point> repeats;
        for (time_point now = start; now < start + duration(25'000); now += duration(50)) {
            for (repeat_budget &each : budgets) {
                for (int i = 0; i < requestsPerStep; ++i) {
                    each.onRequest("s", now);
                    requests.push_back(now);
                }
                for (int i = 0; i < 3 && each.mayRepeat("s", now); ++i) {
                    each.onRepeated("s", now);
                    repeats.push_back(now);
                }
            }
            const auto forget = [now](std::deque<time_point> &times) {
                while (!times.empty() && now - times.front() >= duration(10'000))
                    times.pop_front();
            };
            forget(requests);
            forget(repeats);
            RC_ASSERT(static_cast<double>(repeats.size())
                      <= 0.2 * static_cast<double>(requests.size()) + 58);
        }
    }));
}
