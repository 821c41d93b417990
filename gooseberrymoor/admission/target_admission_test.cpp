#include "gooseberrymoor/admission/target_admission.h"
#include "gooseberrymoor/admission/target_status.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace gooseberrymoor;

namespace {

using ticket = target_admission::ticket;

const time_point start { duration(1000) };
const target_limits limits { 4, 35, 1, duration(3000) };
constexpr duration far { 60'000 };
constexpr duration usual_time { 5 };
constexpr duration transit_bound { 1000 };

// An admission whose target answers everything in time.
struct loaded_target
{
    explicit loaded_target(target_limits with = limits) : admission(with, start) { }

    void fillQueue()
    {
        while (admission.offer(last + 1, now + far, now) == offer_result::queued)
            ++last;
    }

    // Keeps the queue full and answers each request after `taken`, for `span`.
    void serve(duration span, duration taken = usual_time)
    {
        for (const time_point end = now + span; now < end; now += taken) {
            const std::vector<ticket> running = startAll();
            for (const ticket request : running)
                admission.finish(request, leaf_result::answered, now + taken);
        }
    }

    std::vector<ticket> startAll()
    {
        fillQueue();
        std::vector<ticket> started;
        while (const auto next = admission.startNext(now))
            started.push_back(*next);
        fillQueue();
        return started;
    }

    void becomeWarm()
    {
        while (admission.phase() != admission_phase::warm)
            serve(usual_time);
    }

    target_admission admission;
    time_point now = start;
    ticket last = 0;
};

} // namespace

TEST_CASE("A target is new to its owner")
{
    target_admission admission(limits, start);
    const time_point deadline = start + far;
    for (ticket request = 1; request <= 6; ++request)
        REQUIRE(admission.offer(request, deadline, start) == offer_result::queued);

    SUBCASE("so it is cold and gets one request")
    {
        CHECK(admission.phase() == admission_phase::cold);
        CHECK(admission.reason() == admission_reason::new_target);
        CHECK(admission.startableCount(start) == 1);
        CHECK(admission.startNext(start) == 1);
        CHECK(!admission.startNext(start));

        SUBCASE("and the next only when that has ended")
        {
            admission.finish(1, leaf_result::answered, start + usual_time);
            CHECK(admission.startNext(start + usual_time) == 2);
        }
        SUBCASE("and time alone does not make it warm")
        {
            CHECK(admission.allowance(start + limits.warmup * 5) == 1);
        }
    }
    SUBCASE("and a request that waits too long is never sent")
    {
        CHECK(admission.expire(deadline).size() == 6);
        CHECK(!admission.startNext(deadline));
    }
    SUBCASE("and a request that is met too late is not sent but returned")
    {
        CHECK(!admission.startNext(deadline));
        CHECK(admission.expire(deadline).size() == 6);
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
    loaded_target target;

    SUBCASE("and is held at its cold slots for the whole warm-up")
    {
        target.serve(limits.warmup - usual_time);
        CHECK(target.admission.allowance(target.now) == limits.coldSlots);

        SUBCASE("and then gets all its slots, round by round")
        {
            int last = limits.coldSlots;
            while (target.admission.phase() != admission_phase::warm) {
                target.serve(usual_time);
                const int next = target.admission.allowance(target.now);
                CHECK(next - last <= std::max(1, last / 2));
                last = next;
            }
            CHECK(last == limits.slots);
            CHECK(target.now >= start + limits.warmup);
        }
    }
    SUBCASE("and one that says that it is cold stays so")
    {
        for (duration passed {}; passed < limits.warmup * 2; passed += usual_time) {
            target.admission.observeReply({ "i1", true, false }, target.now);
            target.serve(usual_time);
        }
        CHECK(target.admission.allowance(target.now) == limits.coldSlots);

        SUBCASE("until it says otherwise")
        {
            target.admission.observeReply({ "i1", false, false }, target.now);
            target.becomeWarm();
            CHECK(target.admission.allowance(target.now) == limits.slots);
        }
    }
}

TEST_CASE("A warm target gives a sign of a cold start")
{
    loaded_target target;
    target.admission.observeInstance("i1", start);
    target.becomeWarm();
    const time_point now = target.now;
    target_admission &admission = target.admission;
    const auto isCold = [&](admission_reason reason) {
        CHECK(admission.phase() == admission_phase::cold);
        CHECK(admission.reason() == reason);
        CHECK(admission.allowance(target.now) == limits.coldSlots);
    };

    SUBCASE("another instance")
    {
        admission.observeInstance("i2", now);
        isCold(admission_reason::new_instance);

        SUBCASE("and a lagging report of the old one changes nothing")
        {
            target.becomeWarm();
            admission.observeHealth({ "i1", std::nullopt, false }, target.now);
            CHECK(admission.phase() == admission_phase::warm);
        }
    }
    SUBCASE("its own word in a reply")
    {
        admission.observeReply({ "i1", true, false }, now);
        isCold(admission_reason::self_reported);
    }
    SUBCASE("its own word in a health report")
    {
        admission.observeHealth({ "i1", true, false }, now);
        isCold(admission_reason::self_reported);
    }
    SUBCASE("no connection to be had")
    {
        admission.observeUnreachable(now);
        isCold(admission_reason::unreachable);
    }
    SUBCASE("a lost connection")
    {
        const auto running = target.startAll();
        admission.finish(running.front(), leaf_result::lost, now);
        isCold(admission_reason::connection_lost);
    }
    SUBCASE("a long silence")
    {
        target.now += duration(30'000);
        CHECK(admission.allowance(target.now) == limits.coldSlots);
        CHECK(target.startAll().size() == 1);
        isCold(admission_reason::silence);
    }
    SUBCASE("several timeouts in a row")
    {
        const auto running = target.startAll();
        REQUIRE(running.size() == 4);
        admission.finish(running[0], leaf_result::timed_out, now);
        admission.finish(running[1], leaf_result::timed_out, now);
        CHECK(admission.phase() == admission_phase::warm);
        admission.finish(running[2], leaf_result::timed_out, now);
        isCold(admission_reason::silence);
    }
    SUBCASE("answers far slower than before")
    {
        while (admission.phase() == admission_phase::warm)
            target.serve(duration(100), duration(100));
        isCold(admission_reason::slow_answers);

        SUBCASE("which become its usual ones if they stay")
        {
            for (int second = 0; second < 600; ++second)
                target.serve(duration(1000), duration(100));
            CHECK(admission.phase() == admission_phase::warm);
        }
    }
    SUBCASE("but stragglers among its answers are none")
    {
        for (int round = 0; round < 200; ++round) {
            target.serve(duration(25));
            target.serve(duration(300), duration(300));
        }
        CHECK(admission.phase() == admission_phase::warm);
    }
    SUBCASE("and is told so by health alone, against its fresh replies")
    {
        admission.observeReply({ "i1", false, false }, now);
        admission.observeHealth({ "i1", true, false }, now + duration(1));
        CHECK(admission.phase() == admission_phase::warm);
    }
}

TEST_CASE("A warm target sheds")
{
    loaded_target target;
    target.becomeWarm();
    const auto running = target.startAll();
    target.admission.finish(running[0], leaf_result::shed, target.now);

    SUBCASE("so it gets fewer requests, after a pause")
    {
        CHECK(target.admission.phase() == admission_phase::backing_off);
        CHECK(target.admission.allowance(target.now) < limits.slots);
        CHECK(target.admission.pausedUntil() > target.now);
        for (std::size_t i = 1; i < running.size(); ++i)
            target.admission.finish(running[i], leaf_result::answered, target.now);
        CHECK(target.startAll().empty());

        SUBCASE("and all again after answers in time")
        {
            target.now = target.admission.pausedUntil();
            target.serve(duration(500));
            CHECK(target.admission.phase() == admission_phase::warm);
        }
    }
    SUBCASE("and again, so it is cold")
    {
        target.admission.finish(running[1], leaf_result::shed, target.now);
        CHECK(target.admission.phase() == admission_phase::cold);
        CHECK(target.admission.reason() == admission_reason::shed_answers);
    }
}

TEST_CASE("An answer does not come")
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
        REQUIRE(admission.offer(2, deadline + far, deadline) == offer_result::queued);
        CHECK(!admission.startNext(deadline));

        SUBCASE("until its deadline at the target has surely passed")
        {
            CHECK(admission.nextTimedChange(deadline) == deadline + transit_bound);
            CHECK(!admission.startNext(deadline + transit_bound - duration(1)));
            CHECK(admission.startNext(deadline + transit_bound) == 2);
        }
        SUBCASE("or the target confirms that it stopped")
        {
            admission.confirmStopped(1);
            CHECK(admission.startNext(deadline) == 2);
        }
    }
    SUBCASE("and what cannot wait so long is refused at once")
    {
        CHECK(admission.offer(2, deadline + duration(500), deadline)
              == offer_result::wait_too_long);
    }
}

TEST_CASE("Requests wait for a target")
{
    loaded_target target;
    target.becomeWarm();
    target_admission &admission = target.admission;
    const time_point now = target.now;

    SUBCASE("in a bounded queue")
    {
        target.startAll();
        CHECK(admission.waiting() == admission.queueCapacity());
        CHECK(admission.offer(target.last + 1, now + far, now) == offer_result::queue_full);
    }
    SUBCASE("and one that could not be answered in time is refused early")
    {
        target.startAll();
        admission.clearQueue();
        CHECK(admission.offer(900'001, now + duration(9), now) == offer_result::wait_too_long);
        CHECK(admission.offer(900'002, now + duration(10), now) == offer_result::queued);

        SUBCASE("also when the target turns cold while it waits")
        {
            admission.observeUnreachable(now);
            CHECK(admission.removeUnservable(now) == std::vector<ticket> { 900'002 });
        }
    }
    SUBCASE("and one whose deadline has passed is not taken")
    {
        CHECK(admission.offer(900'001, now, now) == offer_result::late);
    }
    SUBCASE("and lowered limits hold at once, for the queue too")
    {
        const auto running = target.startAll();
        const target_limits lower { 2, 35, 1, duration(3000) };
        CHECK(admission.setLimits(lower, now).size() == 16);
        CHECK(admission.waiting() == 16);
        CHECK(admission.running() == 4);
        admission.finish(running[0], leaf_result::answered, now);
        admission.finish(running[1], leaf_result::answered, now);
        CHECK(!admission.startNext(now));
        admission.finish(running[2], leaf_result::answered, now);
        CHECK(admission.startNext(now));

        SUBCASE("and raised ones are reached with answers in time")
        {
            admission.setLimits(limits, now);
            CHECK(admission.allowance(now) == 2);
            CHECK(admission.phase() == admission_phase::warming);
            admission.finish(running[3], leaf_result::answered, now);
            target.serve(duration(200));
            CHECK(admission.allowance(target.now) == limits.slots);
        }
    }
}

TEST_CASE("A target drains")
{
    loaded_target target;
    target.admission.observeInstance("i1", start);
    target.becomeWarm();
    const auto running = target.startAll();
    target.admission.observeReply({ "i1", std::nullopt, true }, target.now);

    SUBCASE("so nothing new starts, and what runs finishes")
    {
        CHECK(target.admission.phase() == admission_phase::draining);
        CHECK(target.admission.allowance(target.now) == 0);
        CHECK(target.admission.offer(900'001, target.now + far, target.now)
              == offer_result::draining);
        target.admission.finish(running[0], leaf_result::answered, target.now);
        CHECK(!target.admission.startNext(target.now));
        CHECK(target.admission.running() == 3);
    }
    SUBCASE("and a sign of a cold start does not let it in again")
    {
        target.admission.finish(running[0], leaf_result::lost, target.now);
        CHECK(target.admission.phase() == admission_phase::draining);
    }
    SUBCASE("and comes back cold after several reports, not after one that lags")
    {
        for (const char *instance : { "i1", "i2" })
            target.admission.observeHealth({ instance, std::nullopt, false }, target.now);
        CHECK(target.admission.phase() == admission_phase::draining);
        target.admission.observeHealth({ "i2", std::nullopt, false }, target.now);
        CHECK(target.admission.phase() == admission_phase::cold);
        CHECK(target.admission.allowance(target.now) == limits.coldSlots);
    }
    SUBCASE("and a report that it still drains begins the count anew")
    {
        for (const bool draining : { false, false, true, false, false })
            target.admission.observeHealth({ "i1", std::nullopt, draining }, target.now);
        CHECK(target.admission.phase() == admission_phase::draining);
    }
    SUBCASE("and comes back cold when another instance answers")
    {
        target.admission.observeReply({ "i2", std::nullopt, false }, target.now);
        CHECK(target.admission.phase() == admission_phase::cold);
        CHECK(target.admission.allowance(target.now) == limits.coldSlots);
    }
    SUBCASE("or refuses a request because of it")
    {
        loaded_target other;
        const auto started = other.startAll();
        other.admission.finish(started.front(), leaf_result::drained, other.now);
        CHECK(other.admission.phase() == admission_phase::draining);
    }
}
