#include "gooseberrymoor/admission/target_admission.h"
#include "gooseberrymoor/admission/target_status.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace gooseberrymoor;

namespace {

using request_id = target_admission::request_id;

const time_point start { duration(1000) };
const target_limits limits { 4, 35, 1, duration(3000) };
constexpr duration distant_timeout { 60'000 };
constexpr duration answer_time { 5 };
constexpr duration max_transit { 1000 };

// An admission together with a target that answers every request in time, in virtual time.
struct target_simulation
{
    explicit target_simulation(target_limits initialLimits = limits)
        : admission(initialLimits, start)
    {
    }

    void fillQueue()
    {
        while (admission.offer(lastRequest + 1, now + distant_timeout, now) == offer_result::queued)
            ++lastRequest;
    }

    // Keeps the queue full for `simulatedTime` and answers each request after `answerTime`.
    void serveFor(duration simulatedTime, duration answerTime = answer_time)
    {
        for (const time_point end = now + simulatedTime; now < end; now += answerTime) {
            const std::vector<request_id> running = startAvailable();
            for (const request_id request : running)
                admission.finish(request, leaf_result::answered, now + answerTime);
        }
    }

    std::vector<request_id> startAvailable()
    {
        fillQueue();
        std::vector<request_id> started;
        while (const auto next = admission.startNext(now))
            started.push_back(*next);
        fillQueue();
        return started;
    }

    void warmUp()
    {
        while (admission.phase() != admission_phase::warm)
            serveFor(answer_time);
    }

    target_admission admission;
    time_point now = start;
    request_id lastRequest = 0;
};

} // namespace

TEST_CASE("A target is new to its owner")
{
    target_admission admission(limits, start);
    const time_point deadline = start + distant_timeout;
    for (request_id request = 1; request <= 6; ++request)
        REQUIRE(admission.offer(request, deadline, start) == offer_result::queued);

    SUBCASE("so it is cold and receives one request")
    {
        CHECK(admission.phase() == admission_phase::cold);
        CHECK(admission.reason() == admission_reason::new_target);
        CHECK(admission.startableCount(start) == 1);
        CHECK(admission.startNext(start) == 1);
        CHECK(!admission.startNext(start));

        SUBCASE("and the next one only after the first has ended")
        {
            admission.finish(1, leaf_result::answered, start + answer_time);
            CHECK(admission.startNext(start + answer_time) == 2);
        }
        SUBCASE("and time alone does not make it warm")
        {
            CHECK(admission.allowance(start + limits.warmup * 5) == 1);
        }
    }
    SUBCASE("and a request that expires in the queue is never sent")
    {
        CHECK(admission.removeExpired(deadline).size() == 6);
        CHECK(!admission.startNext(deadline));
    }
    SUBCASE("and an expired request that startNext dequeues is returned by removeExpired")
    {
        CHECK(!admission.startNext(deadline));
        CHECK(admission.removeExpired(deadline).size() == 6);
        CHECK(admission.waiting() == 0);
    }
    SUBCASE("and a request that is withdrawn is never sent")
    {
        CHECK(admission.withdraw(1));
        CHECK(!admission.withdraw(1));
        CHECK(admission.startNext(start) == 2);
    }
}

TEST_CASE("A target answers in time under load")
{
    target_simulation target;

    SUBCASE("and stays at its cold slots for the whole warm-up")
    {
        target.serveFor(limits.warmup - answer_time);
        CHECK(target.admission.allowance(target.now) == limits.coldSlots);

        SUBCASE("and then its allowance rises step by step to all slots")
        {
            int previous = limits.coldSlots;
            while (target.admission.phase() != admission_phase::warm) {
                target.serveFor(answer_time);
                const int next = target.admission.allowance(target.now);
                CHECK(next - previous <= std::max(1, previous / 2));
                previous = next;
            }
            CHECK(previous == limits.slots);
            CHECK(target.now >= start + limits.warmup);
        }
    }
    SUBCASE("and stays cold while it reports that it is cold")
    {
        for (duration passed {}; passed < limits.warmup * 2; passed += answer_time) {
            target.admission.observeReply({ "i1", true, false }, target.now);
            target.serveFor(answer_time);
        }
        CHECK(target.admission.allowance(target.now) == limits.coldSlots);

        SUBCASE("until it reports otherwise")
        {
            target.admission.observeReply({ "i1", false, false }, target.now);
            target.warmUp();
            CHECK(target.admission.allowance(target.now) == limits.slots);
        }
    }
}

TEST_CASE("A warm target shows a sign of a cold start")
{
    target_simulation target;
    target.admission.observeInstance("i1", start);
    target.warmUp();
    const time_point now = target.now;
    target_admission &admission = target.admission;
    const auto checkCold = [&](admission_reason reason) {
        CHECK(admission.phase() == admission_phase::cold);
        CHECK(admission.reason() == reason);
        CHECK(admission.allowance(target.now) == limits.coldSlots);
    };

    SUBCASE("a new instance ID")
    {
        admission.observeInstance("i2", now);
        checkCold(admission_reason::new_instance);

        SUBCASE("and a stale report of the old instance changes nothing")
        {
            target.warmUp();
            admission.observeHealth({ "i1", std::nullopt, false }, target.now);
            CHECK(admission.phase() == admission_phase::warm);
        }
    }
    SUBCASE("a reply that reports it as cold")
    {
        admission.observeReply({ "i1", true, false }, now);
        checkCold(admission_reason::self_reported);
    }
    SUBCASE("a health report that reports it as cold")
    {
        admission.observeHealth({ "i1", true, false }, now);
        checkCold(admission_reason::self_reported);
    }
    SUBCASE("a failed connection attempt")
    {
        admission.observeUnreachable(now);
        checkCold(admission_reason::unreachable);
    }
    SUBCASE("a lost connection")
    {
        const auto running = target.startAvailable();
        admission.finish(running.front(), leaf_result::lost, now);
        checkCold(admission_reason::connection_lost);
    }
    SUBCASE("no answer for a long time")
    {
        target.now += duration(30'000);
        CHECK(admission.allowance(target.now) == limits.coldSlots);
        CHECK(target.startAvailable().size() == 1);
        checkCold(admission_reason::silence);
    }
    SUBCASE("several consecutive timeouts")
    {
        const auto running = target.startAvailable();
        REQUIRE(running.size() == 4);
        admission.finish(running[0], leaf_result::timed_out, now);
        admission.finish(running[1], leaf_result::timed_out, now);
        CHECK(admission.phase() == admission_phase::warm);
        admission.finish(running[2], leaf_result::timed_out, now);
        checkCold(admission_reason::silence);
    }
    SUBCASE("answers far slower than before")
    {
        while (admission.phase() == admission_phase::warm)
            target.serveFor(duration(100), duration(100));
        checkCold(admission_reason::slow_answers);

        SUBCASE("which become the new baseline if they persist")
        {
            for (int second = 0; second < 600; ++second)
                target.serveFor(duration(1000), duration(100));
            CHECK(admission.phase() == admission_phase::warm);
        }
    }
    SUBCASE("but single slow answers are not a sign")
    {
        for (int round = 0; round < 200; ++round) {
            target.serveFor(duration(25));
            target.serveFor(duration(300), duration(300));
        }
        CHECK(admission.phase() == admission_phase::warm);
    }
    SUBCASE("but a health report that contradicts a recent reply is ignored")
    {
        admission.observeReply({ "i1", false, false }, now);
        admission.observeHealth({ "i1", true, false }, now + duration(1));
        CHECK(admission.phase() == admission_phase::warm);
    }
}

TEST_CASE("A warm target sheds a request")
{
    target_simulation target;
    target.warmUp();
    const auto running = target.startAvailable();
    target.admission.finish(running[0], leaf_result::shed, target.now);

    SUBCASE("so its allowance is reduced and nothing starts during the backoff")
    {
        CHECK(target.admission.phase() == admission_phase::backing_off);
        CHECK(target.admission.allowance(target.now) < limits.slots);
        CHECK(target.admission.pausedUntil() > target.now);
        for (std::size_t i = 1; i < running.size(); ++i)
            target.admission.finish(running[i], leaf_result::answered, target.now);
        CHECK(target.startAvailable().empty());

        SUBCASE("and all slots are restored after answers in time")
        {
            target.now = target.admission.pausedUntil();
            target.serveFor(duration(500));
            CHECK(target.admission.phase() == admission_phase::warm);
        }
    }
    SUBCASE("and a second one, so it becomes cold")
    {
        target.admission.finish(running[1], leaf_result::shed, target.now);
        CHECK(target.admission.phase() == admission_phase::cold);
        CHECK(target.admission.reason() == admission_reason::shed_answers);
    }
}

TEST_CASE("A request times out")
{
    target_admission admission(limits, start);
    const time_point deadline = start + duration(100);
    REQUIRE(admission.offer(1, deadline, start) == offer_result::queued);
    REQUIRE(admission.startNext(start) == 1);
    admission.finish(1, leaf_result::timed_out, deadline);

    SUBCASE("so the request keeps its slot")
    {
        CHECK(admission.running() == 0);
        CHECK(admission.lingering() == 1);
        REQUIRE(admission.offer(2, deadline + distant_timeout, deadline) == offer_result::queued);
        CHECK(!admission.startNext(deadline));

        SUBCASE("until its deadline at the target has certainly passed")
        {
            CHECK(admission.nextTimedChange(deadline) == deadline + max_transit);
            CHECK(!admission.startNext(deadline + max_transit - duration(1)));
            CHECK(admission.startNext(deadline + max_transit) == 2);
        }
        SUBCASE("or the target confirms that it stopped")
        {
            admission.confirmStopped(1);
            CHECK(admission.startNext(deadline) == 2);
        }
    }
    SUBCASE("and a request that cannot wait that long is rejected immediately")
    {
        CHECK(admission.offer(2, deadline + duration(500), deadline)
              == offer_result::wait_too_long);
    }
}

TEST_CASE("Requests are queued for a target")
{
    target_simulation target;
    target.warmUp();
    target_admission &admission = target.admission;
    const time_point now = target.now;

    SUBCASE("in a bounded queue")
    {
        target.startAvailable();
        CHECK(admission.waiting() == admission.queueCapacity());
        CHECK(admission.offer(target.lastRequest + 1, now + distant_timeout, now)
              == offer_result::queue_full);
    }
    SUBCASE("and one that could not be answered in time is rejected early")
    {
        target.startAvailable();
        admission.clearQueue();
        CHECK(admission.offer(900'001, now + duration(9), now) == offer_result::wait_too_long);
        CHECK(admission.offer(900'002, now + duration(10), now) == offer_result::queued);

        SUBCASE("also when the target becomes cold while it is queued")
        {
            admission.observeUnreachable(now);
            CHECK(admission.removeUnservable(now) == std::vector<request_id> { 900'002 });
        }
    }
    SUBCASE("and one whose deadline has passed is rejected")
    {
        CHECK(admission.offer(900'001, now, now) == offer_result::late);
    }
    SUBCASE("and reduced limits apply immediately, also to the queue")
    {
        const auto running = target.startAvailable();
        const target_limits lower { 2, 35, 1, duration(3000) };
        CHECK(admission.setLimits(lower, now).size() == 16);
        CHECK(admission.waiting() == 16);
        CHECK(admission.running() == 4);
        admission.finish(running[0], leaf_result::answered, now);
        admission.finish(running[1], leaf_result::answered, now);
        CHECK(!admission.startNext(now));
        admission.finish(running[2], leaf_result::answered, now);
        CHECK(admission.startNext(now));

        SUBCASE("and increased limits are reached after answers in time")
        {
            admission.setLimits(limits, now);
            CHECK(admission.allowance(now) == 2);
            CHECK(admission.phase() == admission_phase::warming);
            admission.finish(running[3], leaf_result::answered, now);
            target.serveFor(duration(200));
            CHECK(admission.allowance(target.now) == limits.slots);
        }
    }
}

TEST_CASE("A target drains")
{
    target_simulation target;
    target.admission.observeInstance("i1", start);
    target.warmUp();
    const auto running = target.startAvailable();
    target.admission.observeReply({ "i1", std::nullopt, true }, target.now);

    SUBCASE("so no new request starts, and running requests finish")
    {
        CHECK(target.admission.phase() == admission_phase::draining);
        CHECK(target.admission.allowance(target.now) == 0);
        CHECK(target.admission.offer(900'001, target.now + distant_timeout, target.now)
              == offer_result::draining);
        target.admission.finish(running[0], leaf_result::answered, target.now);
        CHECK(!target.admission.startNext(target.now));
        CHECK(target.admission.running() == 3);
    }
    SUBCASE("and a sign of a cold start does not return it to service")
    {
        target.admission.finish(running[0], leaf_result::lost, target.now);
        CHECK(target.admission.phase() == admission_phase::draining);
    }
    SUBCASE("and returns cold after several reports, not after a stale one")
    {
        for (const char *instance : { "i1", "i2" })
            target.admission.observeHealth({ instance, std::nullopt, false }, target.now);
        CHECK(target.admission.phase() == admission_phase::draining);
        target.admission.observeHealth({ "i2", std::nullopt, false }, target.now);
        CHECK(target.admission.phase() == admission_phase::cold);
        CHECK(target.admission.allowance(target.now) == limits.coldSlots);
    }
    SUBCASE("and a report that it is still draining restarts the count")
    {
        for (const bool draining : { false, false, true, false, false })
            target.admission.observeHealth({ "i1", std::nullopt, draining }, target.now);
        CHECK(target.admission.phase() == admission_phase::draining);
    }
    SUBCASE("and returns cold when a new instance answers")
    {
        target.admission.observeReply({ "i2", std::nullopt, false }, target.now);
        CHECK(target.admission.phase() == admission_phase::cold);
        CHECK(target.admission.allowance(target.now) == limits.coldSlots);
    }
    SUBCASE("or rejects a request because it is draining")
    {
        target_simulation other;
        const auto started = other.startAvailable();
        other.admission.finish(started.front(), leaf_result::drained, other.now);
        CHECK(other.admission.phase() == admission_phase::draining);
    }
}
