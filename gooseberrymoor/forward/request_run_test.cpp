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

// Selects the first target of the service that is not excluded.
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

    time_point availableAt(const std::string &service, time_point now) const override
    {
        const auto found = available.find(service);
        return found == available.end() ? now : found->second;
    }

    std::map<std::string, int> targets;
    std::map<std::string, time_point> available; // by service; `now` if absent
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
    plan.softDeadline = start + duration(50);
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
    plan.softDeadline = start + duration(600);
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
    fixture env;
    request_run run(shardedPlan(4), env.selector, env.budget);
    const auto first = run.start(start);
    REQUIRE(first.size() == 4);
    const auto answer = [&](std::size_t shard, time_point now) {
        return run.onAttemptEnded(shard, first[shard].attempt, attempt_outcome::answered, now);
    };

    SUBCASE("is complete when every shard has responded")
    {
        for (std::size_t shard = 0; shard < 4; ++shard)
            answer(shard, start + duration(10));
        CHECK(run.isComplete(start + duration(10)));
        CHECK(run.answered() == 4);
    }
    SUBCASE("with one unresponsive shard")
    {
        for (std::size_t shard = 0; shard < 3; ++shard)
            answer(shard, start + duration(10));
        CHECK(!run.isComplete(start + duration(10)));
        SUBCASE("sends a hedge to a second target after the hedge delay, and not before")
        {
            CHECK(run.onTime(start + duration(19)).empty());
            const auto hedge = run.onTime(start + duration(20));
            REQUIRE(hedge.size() == 1);
            CHECK(hedge.front().reason == send_reason::hedge);
            CHECK(hedge.front().target->entry.id != first[3].target->entry.id);
            SUBCASE("and uses the first response only")
            {
                run.onAttemptEnded(3, hedge.front().attempt, attempt_outcome::answered,
                                   start + duration(30));
                CHECK(run.isComplete(start + duration(30)));
                answer(3, start + duration(31));
                CHECK(run.answered() == 4);
            }
            SUBCASE("and sends nothing to a third one, because two attempts are allowed")
            {
                CHECK(run.onTime(start + duration(45)).empty());
            }
        }
        SUBCASE("responds with the other shards at the soft deadline")
        {
            CHECK(run.isComplete(start + duration(50)));
            CHECK(run.isSuccess());
            CHECK(run.answered() == 3);
        }
        SUBCASE("responds with the other shards as soon as no attempt for it is in progress")
        {
            const auto retry = run.onAttemptEnded(3, first[3].attempt, attempt_outcome::lost,
                                                  start + duration(12));
            REQUIRE(retry.size() == 1);
            run.onAttemptEnded(3, retry.front().attempt, attempt_outcome::lost,
                               start + duration(14));
            CHECK(run.isComplete(start + duration(14)));
            CHECK(run.isSuccess());
        }
    }
    SUBCASE("sends no hedges if most shards are unresponsive: the cause is not one target")
    {
        answer(0, start + duration(10));
        CHECK(run.onTime(start + duration(30)).empty());
    }
    SUBCASE("with too many unresponsive shards")
    {
        answer(0, start + duration(10));
        answer(1, start + duration(10));
        SUBCASE("waits beyond the soft deadline until enough have responded")
        {
            CHECK(!run.isComplete(start + duration(60)));
            answer(2, start + duration(70));
            CHECK(run.isComplete(start + duration(70)));
            CHECK(run.isSuccess());
        }
        SUBCASE("fails at the deadline")
        {
            CHECK(run.isComplete(start + duration(400)));
            CHECK(!run.isSuccess());
        }
    }
}

TEST_CASE("A shard whose target refuses while the budget is exhausted")
{
    scripted_selector selector;
    selector.targets["s0"] = 3;
    repeat_budget none { { 0, 0, duration(10'000) } };
    run_plan plan = shardedPlan(1);
    plan.minSuccessShare = 1;
    request_run run(plan, selector, none);
    const auto first = run.start(start);
    REQUIRE(first.size() == 1);
    CHECK(run.onAttemptEnded(0, first[0].attempt, attempt_outcome::refused, start + duration(2))
              .empty());
    SUBCASE("is not given up while a retry is still possible")
    {
        CHECK(!run.isComplete(start + duration(2)));
        CHECK(run.nextWake(start + duration(2)) <= start + duration(20));
    }
}

TEST_CASE("A shard whose target lost the response while the budget is exhausted")
{
    scripted_selector selector;
    selector.targets["s0"] = 3;
    repeat_budget none { { 0, 0, duration(10'000) } };
    run_plan plan = shardedPlan(1);
    plan.minSuccessShare = 1;
    request_run run(plan, selector, none);
    const auto first = run.start(start);
    REQUIRE(first.size() == 1);
    CHECK(run.onAttemptEnded(0, first[0].attempt, attempt_outcome::lost, start + duration(2))
              .empty());
    SUBCASE("is given up immediately, while the caller still has time for a retry")
    {
        CHECK(run.isComplete(start + duration(2)));
        CHECK(!run.isSuccess());
        CHECK(!run.hasDefinitelyNotRun());
    }
}

TEST_CASE("A request that must not run twice")
{
    fixture env;
    request_run run(singlePlan(request_kind::non_idempotent), env.selector, env.budget);
    const auto first = run.start(start);
    REQUIRE(first.size() == 1);

    SUBCASE("is sent to another target if the first one has certainly not run it")
    {
        for (const attempt_outcome outcome :
             { attempt_outcome::refused, attempt_outcome::misdirected,
               attempt_outcome::unreachable }) {
            request_run again(singlePlan(request_kind::non_idempotent), env.selector, env.budget);
            const auto sent = again.start(start);
            const auto retry
                = again.onAttemptEnded(0, sent.front().attempt, outcome, start + duration(5));
            REQUIRE(retry.size() == 1);
            CHECK(retry.front().target->entry.id != sent.front().target->entry.id);
        }
    }
    SUBCASE("is not sent again once it may have run")
    {
        for (const attempt_outcome outcome :
             { attempt_outcome::lost, attempt_outcome::timed_out, attempt_outcome::failed,
               attempt_outcome::abandoned }) {
            request_run again(singlePlan(request_kind::non_idempotent), env.selector, env.budget);
            const auto sent = again.start(start);
            CHECK(again.onAttemptEnded(0, sent.front().attempt, outcome, start + duration(5))
                      .empty());
            CHECK(again.isComplete(start + duration(5)));
            CHECK(!again.hasDefinitelyNotRun());
        }
    }
    SUBCASE("is not sent again when the node stops")
    {
        run.stopSending();
        SUBCASE("and has certainly not run if its target refused it")
        {
            CHECK(run.onAttemptEnded(0, first.front().attempt, attempt_outcome::refused,
                                     start + duration(5))
                      .empty());
            CHECK(run.isComplete(start + duration(5)));
            CHECK(run.hasDefinitelyNotRun());
        }
        SUBCASE("and is answered if its target does")
        {
            CHECK(!run.isComplete(start + duration(5)));
            run.onAttemptEnded(0, first.front().attempt, attempt_outcome::answered,
                               start + duration(5));
            CHECK(run.isSuccess());
        }
    }
    SUBCASE("is never hedged")
    {
        CHECK(run.onTime(start + duration(1000)).empty());
        CHECK(run.nextWake(start) == start + duration(4000));
    }
    SUBCASE("has certainly not run if every target refused it")
    {
        auto attempts = first;
        time_point now = start;
        while (!run.isComplete(now)) {
            now += duration(20);
            if (attempts.empty())
                attempts = run.onTime(now);
            else
                attempts = run.onAttemptEnded(0, attempts.front().attempt, attempt_outcome::refused,
                                              now);
        }
        CHECK(run.hasDefinitelyNotRun());
        CHECK(now < start + duration(400));
    }
}

TEST_CASE("A request with too few shards that have a target, as after a restart")
{
    fixture env;
    env.selector.targets["s0"] = 0;
    env.selector.targets["s1"] = 0;
    request_run run(shardedPlan(4), env.selector, env.budget);

    SUBCASE("is not sent and is refused immediately as not run")
    {
        CHECK(run.start(start).empty());
        CHECK(run.isComplete(start));
        CHECK(run.hasDefinitelyNotRun());
        CHECK(!run.isSuccess());
    }
}

TEST_CASE("A service without any target")
{
    fixture env;
    env.selector.targets["registry"] = 0;
    request_run run(singlePlan(request_kind::idempotent), env.selector, env.budget);
    CHECK(run.start(start).empty());
    SUBCASE("is refused immediately as not run")
    {
        CHECK(run.isComplete(start));
        CHECK(run.hasDefinitelyNotRun());
    }
}

TEST_CASE("A request with random outcomes of its attempts")
{
    CHECK(rc::check("runs on no shard more often than allowed and ends by its deadline", [] {
        fixture env;
        const bool isSharded = *rc::gen::arbitrary<bool>();
        const auto kind = *rc::gen::element(request_kind::idempotent, request_kind::non_idempotent);
        run_plan plan = isSharded ? shardedPlan(4) : singlePlan(kind);
        const time_point deadline = plan.deadline;
        const std::size_t shards = plan.services.size();
        request_run run(plan, env.selector, env.budget);
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
                const auto outcome
                    = *rc::gen::element(attempt_outcome::answered, attempt_outcome::failed,
                                        attempt_outcome::refused, attempt_outcome::unreachable,
                                        attempt_outcome::lost, attempt_outcome::timed_out);
                if (!hasNotRun(outcome))
                    ++mayHaveRun[each.shard];
                more = run.onAttemptEnded(each.shard, each.attempt, outcome, now);
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

TEST_CASE("The retries and hedges of a fleet")
{
    CHECK(rc::check("stay within the budget in any window, summed over all nodes", [] {
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
            const auto expire = [now](std::deque<time_point> &times) {
                while (!times.empty() && now - times.front() >= duration(10'000))
                    times.pop_front();
            };
            expire(requests);
            expire(repeats);
            RC_ASSERT(static_cast<double>(repeats.size())
                      <= 0.2 * static_cast<double>(requests.size()) + 58);
        }
    }));
}

TEST_CASE("A request whose targets accept no more requests")
{
    fixture env;
    const auto targetsGone = [&env](const std::string &service) {
        env.selector.targets[service] = 0;
        env.selector.available[service] = time_point::max();
    };
    const auto targetsBackOff = [&env](const std::string &service, duration time) {
        env.selector.targets[service] = 0;
        env.selector.available[service] = start + time;
    };

    SUBCASE("to one shard of many, whose last target refuses it and leaves")
    {
        request_run run(shardedPlan(4), env.selector, env.budget);
        const auto first = run.start(start);
        for (std::size_t shard = 0; shard < 3; ++shard)
            run.onAttemptEnded(shard, first[shard].attempt, attempt_outcome::answered, start);
        targetsGone("s3");
        run.onAttemptEnded(3, first[3].attempt, attempt_outcome::refused, start + duration(5));
        SUBCASE("is answered at once without that shard")
        {
            CHECK(run.isComplete(start + duration(5)));
            CHECK(run.isSuccess());
            CHECK(run.answered() == 3);
        }
    }
    SUBCASE("to more shards than may be missing")
    {
        targetsBackOff("s0", duration(80));
        targetsBackOff("s1", duration(60));
        targetsBackOff("s2", duration(40));
        request_run run(shardedPlan(4), env.selector, env.budget);
        SUBCASE("is sent nowhere and ends at once")
        {
            CHECK(run.start(start).empty());
            CHECK(run.isComplete(start));
            CHECK(run.hasDefinitelyNotRun());
        }
        SUBCASE("can be repeated when enough shards accept requests again")
        {
            run.start(start);
            CHECK(run.enoughAvailableAt() == start + duration(60)); // three shards of four
        }
    }
    SUBCASE("to a single target that refuses it and asks for a pause")
    {
        request_run run(singlePlan(request_kind::non_idempotent), env.selector, env.budget);
        const auto first = run.start(start);
        targetsBackOff("registry", duration(700));
        run.onAttemptEnded(0, first[0].attempt, attempt_outcome::refused, start + duration(5));
        CHECK(run.isComplete(start + duration(5)));
        CHECK(run.hasDefinitelyNotRun());
        CHECK(run.enoughAvailableAt() == start + duration(700));
    }
    SUBCASE("to a single target that may have run it is not a refusal")
    {
        request_run run(singlePlan(request_kind::idempotent), env.selector, env.budget);
        const auto first = run.start(start);
        targetsGone("registry");
        run.onAttemptEnded(0, first[0].attempt, attempt_outcome::lost, start + duration(5));
        CHECK(run.isComplete(start + duration(5)));
        CHECK(!run.hasDefinitelyNotRun());
    }
    SUBCASE("goes on when the targets refuse without asking for a pause")
    {
        request_run run(singlePlan(request_kind::idempotent), env.selector, env.budget);
        const auto first = run.start(start);
        env.selector.targets["registry"] = 0;
        run.onAttemptEnded(0, first[0].attempt, attempt_outcome::refused, start + duration(5));
        CHECK(!run.isComplete(start + duration(5)));
    }
}
