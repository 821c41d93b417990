#include "gooseberrymoor/admission/target_admission.h"
#include "gooseberrymoor/admission/target_status.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace gooseberrymoor;

namespace {

using request_id = target_admission::request_id;

constexpr duration tick { 1 };
constexpr duration silence_timeout { 30'000 };
constexpr duration settle_time { 8000 };
constexpr int max_queued_per_slot = 8;

enum class event_kind {
    advance_time,
    set_load,
    turn_cold, // without reporting it
    report_cold,
    restart,
    shed_requests,
    lose_connections,
    refuse_connections,
    delay_past_deadline,
    confirm_stopped_requests,
    stale_health_report,
    lower_limits,
    restore_limits,
    delay_answers,
    go_idle, // no requests for longer than the silence timeout
    drain,
    end_drain,
};
constexpr name_table<event_kind, 17> names(event_kind)
{
    return { { { event_kind::advance_time, "advance_time" },
               { event_kind::set_load, "set_load" },
               { event_kind::turn_cold, "turn_cold" },
               { event_kind::report_cold, "report_cold" },
               { event_kind::restart, "restart" },
               { event_kind::shed_requests, "shed_requests" },
               { event_kind::lose_connections, "lose_connections" },
               { event_kind::refuse_connections, "refuse_connections" },
               { event_kind::delay_past_deadline, "delay_past_deadline" },
               { event_kind::confirm_stopped_requests, "confirm_stopped_requests" },
               { event_kind::stale_health_report, "stale_health_report" },
               { event_kind::lower_limits, "lower_limits" },
               { event_kind::restore_limits, "restore_limits" },
               { event_kind::delay_answers, "delay_answers" },
               { event_kind::go_idle, "go_idle" },
               { event_kind::drain, "drain" },
               { event_kind::end_drain, "end_drain" } } };
}

constexpr int event_kind_count = 17;

struct history_event
{
    event_kind kind;
    int amount; // 0 to 39; `simulation::applyEvent` derives a duration, rate or count from it
};

void showValue(const history_event &event, std::ostream &out)
{
    out << nameOf(event.kind) << " " << event.amount;
}

const target_limits normal_limits { 6, 110, 1, duration(400) };
const target_limits reduced_limits { 2, 110, 1, duration(400) };

// Simulates a target and the admission control of its owner in virtual time. The checks use the
// actual state of the target, while the admission control only gets the target's replies, its
// health reports and connection errors.
class simulation
{
public:
    explicit simulation(std::uint32_t seed)
        : m_random(seed), m_admission(normal_limits, m_now, seed)
    {
    }

    void applyEvent(const history_event &event)
    {
        switch (event.kind) {
        case event_kind::advance_time:
            advanceTime(duration(event.amount * 20));
            return;
        case event_kind::set_load:
            m_offerPermille = event.amount * 40;
            return;
        case event_kind::turn_cold:
            m_isCold = true;
            m_coldUntil = time_point::max();
            return;
        case event_kind::report_cold:
            m_reportsCold = event.amount % 2 == 0;
            return;
        case event_kind::restart:
            restart();
            return;
        case event_kind::shed_requests:
            m_requestsToShed = event.amount % 4;
            return;
        case event_kind::lose_connections:
            loseConnections();
            return;
        case event_kind::refuse_connections:
            m_admission.observeUnreachable(m_now);
            requireWarmup();
            return;
        case event_kind::delay_past_deadline:
            m_requestsToTimeOut = event.amount % 5;
            return;
        case event_kind::confirm_stopped_requests:
            confirmStoppedRequests();
            return;
        case event_kind::stale_health_report:
            if (!m_isDrainReported) // otherwise it would count towards the end of draining
                m_admission.observeHealth({ "i1", false, false }, m_now);
            return;
        case event_kind::lower_limits:
            setLimits(reduced_limits);
            return;
        case event_kind::restore_limits:
            setLimits(normal_limits);
            return;
        case event_kind::delay_answers:
            m_requestsToDelay = event.amount % 3;
            return;
        case event_kind::go_idle:
            goIdle();
            return;
        case event_kind::drain:
            m_isDraining = true;
            return;
        case event_kind::end_drain:
            endDrain();
            return;
        }
    }

    // Advances time without new requests until all have ended, and checks that each was answered
    // exactly once.
    void finishAll()
    {
        m_offerPermille = 0;
        advanceTime(settle_time);
        RC_ASSERT(m_admission.running() == 0);
        RC_ASSERT(m_admission.lingering() == 0);
        RC_ASSERT(m_admission.waiting() == 0);
        for (const auto &[request, results] : m_resultCounts)
            RC_ASSERT(results == 1);
    }

private:
    struct execution
    {
        request_id request;
        time_point answersAt;
        time_point endsAt; // the deadline as the target sees it, later by the transit time
        bool isShed = false;
    };

    int randomInt(int minimum, int maximum)
    {
        return std::uniform_int_distribution<int>(minimum, maximum)(m_random);
    }

    void advanceTime(duration span)
    {
        for (const time_point end = m_now + span; m_now < end;) {
            m_now += tick;
            answerCompleted();
            timeOutPending();
            offerRandom();
            startAvailable();
            for (const request_id expired : m_admission.removeExpired(m_now))
                ++m_resultCounts[expired];
            RC_ASSERT(m_admission.waiting() <= max_queued_per_slot * m_limits.slots);
        }
    }

    void answerCompleted()
    {
        const std::vector<execution> executions = m_executions;
        for (const execution &each : executions) {
            if (std::min(each.answersAt, each.endsAt) > m_now)
                continue;
            std::erase_if(m_executions,
                          [&](const execution &other) { return other.request == each.request; });
            if (!m_pending.contains(each.request) || each.answersAt > m_now)
                continue;
            deliverAnswer(each);
        }
    }

    void deliverAnswer(const execution &ended)
    {
        m_pending.erase(ended.request);
        ++m_resultCounts[ended.request];
        if (ended.isShed) {
            m_consecutiveTimeouts = 0; // a shed reply shows that the target responds
            m_lastAnswer = m_now;
            m_admission.finish(ended.request, leaf_result::shed, m_now);
            if (++m_consecutiveSheds >= 2)
                requireWarmup();
            return;
        }
        if (m_instance != m_reportedInstance && !m_reportedInstance.empty()) {
            m_isDrainReported = false;
            requireWarmup();
        }
        m_reportedInstance = m_instance;
        if (m_reportsCold)
            requireWarmup();
        m_consecutiveSheds = 0;
        m_consecutiveTimeouts = 0;
        m_lastAnswer = m_now;
        m_isDrainReported = m_isDrainReported || m_isDraining;
        m_admission.observeReply({ m_instance, m_reportsCold, m_isDraining }, m_now);
        m_admission.finish(ended.request, leaf_result::answered, m_now);
    }

    void timeOutPending()
    {
        const auto pending = m_pending;
        for (const auto &[request, deadline] : pending) {
            if (deadline > m_now)
                continue;
            m_pending.erase(request);
            ++m_resultCounts[request];
            m_admission.finish(request, leaf_result::timed_out, m_now);
            if (++m_consecutiveTimeouts >= 3)
                requireWarmup();
        }
    }

    void offerRandom()
    {
        if (randomInt(0, 999) >= m_offerPermille)
            return;
        const request_id request = ++m_lastRequest;
        const time_point deadline = m_now + duration(randomInt(20, 400));
        if (m_admission.offer(request, deadline, m_now) != offer_result::queued)
            return;
        m_resultCounts[request] = 0;
        m_deadlines[request] = deadline;
    }

    void startAvailable()
    {
        if (m_now - m_lastAnswer >= silence_timeout) {
            m_lastAnswer = m_now; // counts each period of silence only once
            requireWarmup();
        }
        while (true) {
            const int allowance = m_admission.allowance(m_now);
            const auto next = m_admission.startNext(m_now);
            if (!next)
                return;
            onStarted(*next, allowance);
        }
    }

    void onStarted(request_id request, int allowance)
    {
        const time_point deadline = m_deadlines.at(request);
        RC_ASSERT(deadline > m_now);
        RC_ASSERT(!m_isDrainReported);
        m_pending[request] = deadline;
        if (!m_warmupStart)
            m_warmupStart = m_now;
        const int concurrent = running() + 1;
        RC_ASSERT(concurrent <= allowance);
        RC_ASSERT(concurrent <= m_limits.slots);
        if (m_now < *m_warmupStart + m_limits.warmup)
            RC_ASSERT(concurrent <= m_limits.coldSlots);
        receiveAtTarget(request, deadline);
    }

    // The target executes the request, sheds it, or crashes because of it.
    void receiveAtTarget(request_id request, time_point deadline)
    {
        const duration transit(randomInt(0, 200));
        if (m_isCold && m_coldUntil == time_point::max())
            m_coldUntil = m_now + m_limits.warmup;
        m_isCold = m_isCold && m_now < m_coldUntil;
        const bool isOverloaded = m_isCold && running() >= m_limits.coldSlots;
        if (m_requestsToShed > 0 || isOverloaded) {
            m_requestsToShed = std::max(0, m_requestsToShed - 1);
            m_executions.push_back({ request, m_now + tick, deadline + transit, true });
            if (isOverloaded && randomInt(0, 2) == 0)
                restart();
            return;
        }
        duration taken(randomInt(2, 8));
        if (m_requestsToTimeOut > 0 && m_requestsToTimeOut-- > 0)
            taken = duration(100'000);
        if (m_requestsToDelay > 0 && m_requestsToDelay-- > 0)
            taken = duration(150);
        m_executions.push_back({ request, m_now + taken, deadline + transit });
    }

    void restart()
    {
        m_instance = "i" + std::to_string(++m_instanceCount);
        m_isCold = true;
        m_coldUntil = time_point::max();
        m_executions.clear();
        loseConnections();
    }

    // The requests keep running at the target, but their answers are lost.
    void loseConnections()
    {
        const auto pending = std::exchange(m_pending, {});
        for (const auto &[request, deadline] : pending) {
            ++m_resultCounts[request];
            m_admission.finish(request, leaf_result::lost, m_now);
            requireWarmup();
        }
    }

    void confirmStoppedRequests()
    {
        const std::vector<execution> executions = m_executions;
        for (const execution &each : executions) {
            if (m_pending.contains(each.request))
                continue;
            std::erase_if(m_executions,
                          [&](const execution &other) { return other.request == each.request; });
            m_admission.confirmStopped(each.request);
        }
    }

    // Ends draining and sends as many health reports as the owner needs to notice it.
    void endDrain()
    {
        m_isDraining = false;
        if (!m_isDrainReported)
            return;
        m_isDrainReported = false;
        requireWarmup();
        for (int report = 0; report < 3; ++report)
            m_admission.observeHealth({ m_reportedInstance, std::nullopt, false }, m_now);
    }

    void goIdle()
    {
        const int load = std::exchange(m_offerPermille, 0);
        advanceTime(silence_timeout + settle_time);
        m_offerPermille = load;
    }

    void setLimits(const target_limits &limits)
    {
        m_limits = limits;
        for (const request_id dropped : m_admission.setLimits(limits, m_now))
            ++m_resultCounts[dropped];
    }

    // Called at each sign of a cold target: a new warm-up begins with the next request that starts.
    void requireWarmup() { m_warmupStart.reset(); }

    int running() const
    {
        return static_cast<int>(std::ranges::count_if(
            m_executions, [](const execution &each) { return !each.isShed; }));
    }

    std::minstd_rand m_random;
    time_point m_now { duration(1000) };
    target_limits m_limits = normal_limits;
    target_admission m_admission;
    std::vector<execution> m_executions;
    std::map<request_id, time_point> m_pending; // deadlines of requests that await an answer
    std::map<request_id, time_point> m_deadlines;
    std::map<request_id, int> m_resultCounts; // per accepted request
    std::string m_instance = "i1";
    std::string m_reportedInstance;
    std::optional<time_point> m_warmupStart; // start of the current warm-up
    time_point m_lastAnswer = m_now;
    time_point m_coldUntil = time_point::max();
    request_id m_lastRequest = 0;
    int m_instanceCount = 1;
    int m_offerPermille = 800;
    int m_requestsToShed = 0;
    int m_requestsToTimeOut = 0;
    int m_requestsToDelay = 0;
    int m_consecutiveSheds = 0;
    int m_consecutiveTimeouts = 0;
    bool m_isCold = true;
    bool m_reportsCold = false;
    bool m_isDraining = false;
    bool m_isDrainReported = false; // a reply has told the owner that the target drains
};

rc::Gen<history_event> anyEvent()
{
    return rc::gen::construct<history_event>(
        rc::gen::map(rc::gen::inRange(0, event_kind_count + 10),
                     [](int kind) {
                         return kind < event_kind_count ? static_cast<event_kind>(kind)
                                                        : event_kind::advance_time;
                     }),
        rc::gen::inRange(0, 40));
}

} // namespace

TEST_CASE("A target never runs more requests than its limits allow")
{
    SUBCASE("when the other targets of its group fail and it receives their load")
    {
        const time_point begin { duration(1000) };
        std::vector<target_admission> group;
        for (std::uint32_t i = 0; i < 3; ++i)
            group.emplace_back(normal_limits, begin, i);
        std::minstd_rand random(20261204);
        std::map<request_id, std::pair<std::size_t, time_point>> running; // target and end time
        request_id last = 0;
        for (time_point now = begin; now < begin + duration(6000); now += tick) {
            const bool isLost = now > begin + duration(3000);
            if (now == begin + duration(3000)) {
                group[1].observeUnreachable(now);
                group[2].observeReply({ "i1", std::nullopt, true }, now);
            }
            for (int i = 0; i < 4; ++i)
                group[isLost ? 0 : random() % 3].offer(++last, now + duration(100), now);
            std::erase_if(running, [&](const auto &each) {
                const auto &[target, end] = each.second;
                if (end <= now)
                    group[target].finish(each.first, leaf_result::answered, now);
                return end <= now;
            });
            for (std::size_t target = 0; target < group.size(); ++target) {
                group[target].removeExpired(now);
                while (const auto next = group[target].startNext(now))
                    running[*next] = { target, now + duration(5) };
                CHECK(group[target].running() <= normal_limits.slots);
                CHECK(group[target].waiting() <= group[target].queueCapacity());
            }
        }
        CHECK(group[0].allowance(begin + duration(6000)) == normal_limits.slots);
        CHECK(group[2].running() == 0);
    }
    SUBCASE("in generated sequences of faults")
    {
        CHECK(rc::check([] {
            simulation simulated(*rc::gen::arbitrary<std::uint32_t>());
            const auto history = *rc::gen::container<std::vector<history_event>>(anyEvent());
            for (const history_event &event : history)
                simulated.applyEvent(event);
            simulated.finishAll();
        }));
    }
}
