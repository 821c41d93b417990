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

using ticket = target_admission::ticket;

constexpr duration tick { 1 };
constexpr duration longest_silence { 30'000 };
constexpr duration settle { 8000 };
constexpr int queue_per_slot = 8;

enum class event_kind {
    pass_time,
    set_load,
    turn_cold, // without warning; its next replies say nothing of it
    say_cold,
    restart,
    shed_next,
    lose_connections,
    refuse_connect,
    answer_late,
    confirm_stops,
    lagging_health,
    lower_limits,
    restore_limits,
    straggle,
    fall_silent, // no requests for long
    drain,
    end_drain,
};
constexpr name_table<event_kind, 17> names(event_kind)
{
    return { { { event_kind::pass_time, "pass_time" },
               { event_kind::set_load, "set_load" },
               { event_kind::turn_cold, "turn_cold" },
               { event_kind::say_cold, "say_cold" },
               { event_kind::restart, "restart" },
               { event_kind::shed_next, "shed_next" },
               { event_kind::lose_connections, "lose_connections" },
               { event_kind::refuse_connect, "refuse_connect" },
               { event_kind::answer_late, "answer_late" },
               { event_kind::confirm_stops, "confirm_stops" },
               { event_kind::lagging_health, "lagging_health" },
               { event_kind::lower_limits, "lower_limits" },
               { event_kind::restore_limits, "restore_limits" },
               { event_kind::straggle, "straggle" },
               { event_kind::fall_silent, "fall_silent" },
               { event_kind::drain, "drain" },
               { event_kind::end_drain, "end_drain" } } };
}

constexpr int event_kinds = 17;

struct history_event
{
    event_kind kind;
    int amount;
};

void showValue(const history_event &event, std::ostream &out)
{
    out << nameOf(event.kind) << " " << event.amount;
}

const target_limits usual { 6, 110, 1, duration(400) };
const target_limits lowered { 2, 110, 1, duration(400) };

// A target whose real state is known, and an owner that sees only what it says.
class simulation
{
public:
    explicit simulation(std::uint32_t seed) : m_random(seed), m_admission(usual, m_now, seed) { }

    void apply(const history_event &event)
    {
        switch (event.kind) {
        case event_kind::pass_time:
            pass(duration(event.amount * 20));
            return;
        case event_kind::set_load:
            m_loadPermille = event.amount * 40;
            return;
        case event_kind::turn_cold:
            m_cold = true;
            m_coldUntil = time_point::max();
            return;
        case event_kind::say_cold:
            m_saysCold = event.amount % 2 == 0;
            return;
        case event_kind::restart:
            restart();
            return;
        case event_kind::shed_next:
            m_shedNext = event.amount % 4;
            return;
        case event_kind::lose_connections:
            loseConnections();
            return;
        case event_kind::refuse_connect:
            m_admission.observeUnreachable(m_now);
            onEvidence();
            return;
        case event_kind::answer_late:
            m_lateNext = event.amount % 5;
            return;
        case event_kind::confirm_stops:
            confirmStops();
            return;
        case event_kind::lagging_health:
            if (!m_isDrainKnown) // else it would count as the end of the drain
                m_admission.observeHealth({ "i1", false, false }, m_now);
            return;
        case event_kind::lower_limits:
            setLimits(lowered);
            return;
        case event_kind::restore_limits:
            setLimits(usual);
            return;
        case event_kind::straggle:
            m_straggleNext = event.amount % 3;
            return;
        case event_kind::fall_silent:
            fallSilent();
            return;
        case event_kind::drain:
            m_draining = true;
            return;
        case event_kind::end_drain:
            endDrain();
            return;
        }
    }

    // Runs on without new requests until all have ended, and checks that each was answered once.
    void settleDown()
    {
        m_loadPermille = 0;
        pass(settle);
        RC_ASSERT(m_admission.running() == 0);
        RC_ASSERT(m_admission.lingering() == 0);
        RC_ASSERT(m_admission.waiting() == 0);
        for (const auto &[request, answers] : m_answers)
            RC_ASSERT(answers == 1);
    }

private:
    struct run
    {
        ticket request;
        time_point answersAt;
        time_point stopsAt; // by the target's own count of the deadline
        bool isShed = false;
    };

    int number(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }

    void pass(duration span)
    {
        for (const time_point end = m_now + span; m_now < end;) {
            m_now += tick;
            answerFinished();
            timeOut();
            offerSome();
            startAll();
            for (const ticket expired : m_admission.expire(m_now))
                ++m_answers[expired];
            RC_ASSERT(m_admission.waiting() <= queue_per_slot * m_limits.slots);
        }
    }

    void answerFinished()
    {
        const std::vector<run> runs = m_runs;
        for (const run &each : runs) {
            if (std::min(each.answersAt, each.stopsAt) > m_now)
                continue;
            std::erase_if(m_runs, [&](const run &other) { return other.request == each.request; });
            if (!m_awaited.contains(each.request) || each.answersAt > m_now)
                continue;
            answer(each);
        }
    }

    void answer(const run &ended)
    {
        m_awaited.erase(ended.request);
        ++m_answers[ended.request];
        if (ended.isShed) {
            m_timeoutsInRow = 0; // it spoke
            m_lastAnswer = m_now;
            m_admission.finish(ended.request, leaf_result::shed, m_now);
            if (++m_shedsInRow >= 2)
                onEvidence();
            return;
        }
        if (m_instance != m_seenInstance && !m_seenInstance.empty()) {
            m_isDrainKnown = false;
            onEvidence();
        }
        m_seenInstance = m_instance;
        if (m_saysCold)
            onEvidence();
        m_shedsInRow = 0;
        m_timeoutsInRow = 0;
        m_lastAnswer = m_now;
        m_isDrainKnown = m_isDrainKnown || m_draining;
        m_admission.observeReply({ m_instance, m_saysCold, m_draining }, m_now);
        m_admission.finish(ended.request, leaf_result::answered, m_now);
    }

    void timeOut()
    {
        const auto awaited = m_awaited;
        for (const auto &[request, deadline] : awaited) {
            if (deadline > m_now)
                continue;
            m_awaited.erase(request);
            ++m_answers[request];
            m_admission.finish(request, leaf_result::timed_out, m_now);
            if (++m_timeoutsInRow >= 3)
                onEvidence();
        }
    }

    void offerSome()
    {
        if (number(0, 999) >= m_loadPermille)
            return;
        const ticket request = ++m_lastTicket;
        const time_point deadline = m_now + duration(number(20, 400));
        if (m_admission.offer(request, deadline, m_now) != offer_result::queued)
            return;
        m_answers[request] = 0;
        m_deadlines[request] = deadline;
    }

    void startAll()
    {
        if (m_now - m_lastAnswer >= longest_silence) {
            m_lastAnswer = m_now; // one silence is one sign
            onEvidence();
        }
        while (true) {
            const int allowance = m_admission.allowance(m_now);
            const auto next = m_admission.startNext(m_now);
            if (!next)
                return;
            start(*next, allowance);
        }
    }

    void start(ticket request, int allowance)
    {
        const time_point deadline = m_deadlines.at(request);
        RC_ASSERT(deadline > m_now);
        RC_ASSERT(!m_isDrainKnown);
        m_awaited[request] = deadline;
        if (!m_firstStart)
            m_firstStart = m_now;
        const int runs = running() + 1;
        RC_ASSERT(runs <= allowance);
        RC_ASSERT(runs <= m_limits.slots);
        if (m_now < *m_firstStart + m_limits.warmup)
            RC_ASSERT(runs <= m_limits.coldSlots);
        take(request, deadline);
    }

    // The target takes a request, sheds it, or falls over under it.
    void take(ticket request, time_point deadline)
    {
        const duration transit(number(0, 200));
        if (m_cold && m_coldUntil == time_point::max())
            m_coldUntil = m_now + m_limits.warmup;
        m_cold = m_cold && m_now < m_coldUntil;
        const bool overloaded = m_cold && running() >= m_limits.coldSlots;
        if (m_shedNext > 0 || overloaded) {
            m_shedNext = std::max(0, m_shedNext - 1);
            m_runs.push_back({ request, m_now + tick, deadline + transit, true });
            if (overloaded && number(0, 2) == 0)
                restart();
            return;
        }
        duration taken(number(2, 8));
        if (m_lateNext > 0 && m_lateNext-- > 0)
            taken = duration(100'000);
        if (m_straggleNext > 0 && m_straggleNext-- > 0)
            taken = duration(150);
        m_runs.push_back({ request, m_now + taken, deadline + transit });
    }

    void restart()
    {
        m_instance = "i" + std::to_string(++m_instances);
        m_cold = true;
        m_coldUntil = time_point::max();
        m_runs.clear();
        loseConnections();
    }

    // The runs go on at the target, and nobody hears of them.
    void loseConnections()
    {
        const auto awaited = std::exchange(m_awaited, {});
        for (const auto &[request, deadline] : awaited) {
            ++m_answers[request];
            m_admission.finish(request, leaf_result::lost, m_now);
            onEvidence();
        }
    }

    void confirmStops()
    {
        const std::vector<run> runs = m_runs;
        for (const run &each : runs) {
            if (m_awaited.contains(each.request))
                continue;
            std::erase_if(m_runs, [&](const run &other) { return other.request == each.request; });
            m_admission.confirmStopped(each.request);
        }
    }

    // Its reports say so, and the owner believes it after a while, or when it restarted.
    void endDrain()
    {
        m_draining = false;
        if (!m_isDrainKnown)
            return;
        m_isDrainKnown = false;
        onEvidence();
        for (int report = 0; report < 3; ++report)
            m_admission.observeHealth({ m_seenInstance, std::nullopt, false }, m_now);
    }

    void fallSilent()
    {
        const int load = std::exchange(m_loadPermille, 0);
        pass(longest_silence + settle);
        m_loadPermille = load;
    }

    void setLimits(const target_limits &limits)
    {
        m_limits = limits;
        for (const ticket dropped : m_admission.setLimits(limits, m_now))
            ++m_answers[dropped];
    }

    void onEvidence() { m_firstStart.reset(); }

    int running() const
    {
        return static_cast<int>(
            std::ranges::count_if(m_runs, [](const run &each) { return !each.isShed; }));
    }

    std::minstd_rand m_random;
    time_point m_now { duration(1000) };
    target_limits m_limits = usual;
    target_admission m_admission;
    std::vector<run> m_runs;
    std::map<ticket, time_point> m_awaited; // with deadlines
    std::map<ticket, time_point> m_deadlines;
    std::map<ticket, int> m_answers; // of accepted requests
    std::string m_instance = "i1";
    std::string m_seenInstance;
    std::optional<time_point> m_firstStart; // since the last evidence of a cold start
    time_point m_lastAnswer = m_now;
    time_point m_coldUntil = time_point::max();
    ticket m_lastTicket = 0;
    int m_instances = 1;
    int m_loadPermille = 800;
    int m_shedNext = 0;
    int m_lateNext = 0;
    int m_straggleNext = 0;
    int m_shedsInRow = 0;
    int m_timeoutsInRow = 0;
    bool m_cold = true;
    bool m_saysCold = false;
    bool m_draining = false;
    bool m_isDrainKnown = false;
};

rc::Gen<history_event> anyEvent()
{
    return rc::gen::construct<history_event>(rc::gen::map(rc::gen::inRange(0, event_kinds + 10),
                                                          [](int kind) {
                                                              return kind < event_kinds
                                                                  ? static_cast<event_kind>(kind)
                                                                  : event_kind::pass_time;
                                                          }),
                                             rc::gen::inRange(0, 40));
}

} // namespace

TEST_CASE("A target is given no more than it bears, whatever happens")
{
    SUBCASE("also when the other targets of its group are lost and all load comes to it")
    {
        const time_point start { duration(1000) };
        std::vector<target_admission> group;
        for (std::uint32_t i = 0; i < 3; ++i)
            group.emplace_back(usual, start, i);
        std::minstd_rand random(20261204);
        std::map<ticket, std::pair<std::size_t, time_point>> running; // target and end
        ticket last = 0;
        for (time_point now = start; now < start + duration(6000); now += tick) {
            const bool isLost = now > start + duration(3000);
            if (now == start + duration(3000)) {
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
                group[target].expire(now);
                while (const auto next = group[target].startNext(now))
                    running[*next] = { target, now + duration(5) };
                CHECK(group[target].running() <= usual.slots);
                CHECK(group[target].waiting() <= group[target].queueCapacity());
            }
        }
        CHECK(group[0].allowance(start + duration(6000)) == usual.slots);
        CHECK(group[2].running() == 0);
    }
    SUBCASE("over generated histories of faults")
    {
        CHECK(rc::check([] {
            simulation run(*rc::gen::arbitrary<std::uint32_t>());
            const auto history = *rc::gen::container<std::vector<history_event>>(anyEvent());
            for (const history_event &event : history)
                run.apply(event);
            run.settleDown();
        }));
    }
}
