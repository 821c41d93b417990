#include "gooseberrymoor/forward/load_shedder.h"

#include "gooseberrymoor/forward/forward_timing.h"
#include "gooseberrymoor/forward/repeat_budget.h"
#include "gooseberrymoor/forward/request_run.h"
#include "gooseberrymoor/replica/cold_target_limiter.h"
#include "gooseberrymoor/replica/expected_wait_selector.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <tuple>

using namespace gooseberrymoor;

namespace {

constexpr std::size_t shard_count = 6;
constexpr std::size_t targets_a_shard = 2;
constexpr unsigned slots = 3;
constexpr std::size_t longest_queue = 24;
constexpr double work_spread = 0.35; // of the mean
const time_point start { duration(100'000) };
constexpr duration played { 12'000 };
constexpr duration warm_up { 2000 };

std::string shardName(std::size_t number)
{
    return "shard-" + std::to_string(number);
}

// One kind of request: its route, and what a target works on each part of it.
struct request_mix
{
    route way;
    double workMs = 0;
    double perSecond = 0;
};

request_mix mixOf(const std::string &name, int priority, duration targetLatency, double workMs)
{
    request_mix mix;
    mix.way.name = name;
    mix.way.priority = priority;
    mix.way.targetLatency = targetLatency;
    mix.way.timeout = 6 * targetLatency;
    mix.way.minSuccessShare = 0.8;
    mix.way.maxAttempts = 3;
    for (std::size_t i = 0; i < shard_count; ++i)
        mix.way.shards.push_back(shardName(i));
    mix.workMs = workMs;
    return mix;
}

// What callers of one kind got, after the warm-up.
struct callers_view
{
    unsigned asked = 0;
    unsigned inTime = 0;
    unsigned refused = 0;

    double shareInTime() const { return asked == 0 ? 0 : double(inTime) / asked; }
};

// Targets and callers in virtual time, with one node's decisions between them.
class virtual_load
{
public:
    explicit virtual_load(std::vector<request_mix> mixes) : m_mixes(std::move(mixes))
    {
        routing_configuration configuration;
        for (std::size_t shard = 0; shard < shard_count; ++shard) {
            configuration.services[shardName(shard)].connectionLimit = 400;
            for (std::size_t i = 0; i < targets_a_shard; ++i)
                addTarget(shard, i);
        }
        for (const request_mix &mix : m_mixes)
            configuration.routes.push_back(mix.way);
        m_subset.configure(configuration);
        m_gate.configure(configuration);
    }

    // Plays the load; the result is by route.
    std::map<std::string, callers_view> play()
    {
        for (std::size_t i = 0; i < m_mixes.size(); ++i)
            at(start, [this, i] { arrive(i); });
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.run();
        }
        return m_seen;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const event &other) const
        {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };
    struct job
    {
        duration work;
        std::function<void(attempt_outcome)> done;
    };
    struct target_state
    {
        unsigned running = 0;
        std::deque<job> queue;
    };
    struct caller
    {
        const request_mix &mix;
        time_point arrived;
        request_run run;
        bool ended = false;
    };

    void addTarget(std::size_t shard, std::size_t number)
    {
        replica entry;
        entry.id = shardName(shard) + "-" + std::to_string(number);
        entry.service = shardName(shard);
        entry.slots = slots;
        m_replicas.put(entry, start);
    }

    void at(time_point when, std::function<void()> run)
    {
        m_events.push({ when, ++m_order, std::move(run) });
    }

    void arrive(std::size_t kind)
    {
        const request_mix &mix = m_mixes[kind];
        std::exponential_distribution<double> gap(mix.perSecond / 1000);
        m_due[kind] += gap(m_random);
        const time_point next = start + duration(static_cast<duration::rep>(m_due[kind]));
        if (next < start + played)
            at(next, [this, kind] { arrive(kind); });
        if (m_now > start)
            ask(mix);
    }

    void ask(const request_mix &mix)
    {
        const bool counts = m_now >= start + warm_up;
        callers_view &seen = m_seen[mix.way.name];
        seen.asked += counts ? 1 : 0;
        if (!m_gate.decide(mix.way, m_now).admitted) {
            seen.refused += counts ? 1 : 0;
            return;
        }
        run_plan plan;
        plan.services = mix.way.shards;
        plan.isSharded = true;
        plan.maxAttempts = mix.way.maxAttempts;
        plan.minSuccessShare = mix.way.minSuccessShare;
        plan.hedgeDelay = hedgeDelay(mix.way, duration(0));
        plan.answerBy = answerTime(mix.way, m_now, false);
        plan.deadline = m_now + mix.way.timeout;
        auto asking = std::make_shared<caller>(
            caller { mix, m_now, request_run(std::move(plan), m_selector, m_budget) });
        send(asking, asking->run.start(m_now));
        settle(asking);
    }

    void send(const std::shared_ptr<caller> &asking, const std::vector<planned_attempt> &sends)
    {
        for (const planned_attempt &each : sends) {
            const auto target = each.target;
            const std::uint64_t ticket = target->health.onSent(m_now);
            std::uniform_real_distribution<double> factor(1 - work_spread, 1 + work_spread);
            const duration work(std::llround(asking->mix.workMs * factor(m_random)));
            const auto done = [this, asking, target, ticket, shard = each.shard,
                               attempt = each.attempt](attempt_outcome ending) {
                const target_state &state = m_targets[target->entry.id];
                const load_report load { state.running, static_cast<unsigned>(state.queue.size()),
                                         slots };
                target->health.onEnded(ticket, ending, load, m_now);
                send(asking, asking->run.onEnding(shard, attempt, ending, m_now));
                settle(asking);
            };
            deliver(m_targets[target->entry.id], { work, done });
        }
    }

    void deliver(target_state &target, job work)
    {
        if (target.running < slots) {
            startJob(target, std::move(work));
        } else if (target.queue.size() < longest_queue) {
            target.queue.push_back(std::move(work));
        } else {
            at(m_now, [done = work.done] { done(attempt_outcome::refused); });
        }
    }

    void startJob(target_state &target, job work)
    {
        ++target.running;
        at(m_now + work.work, [this, &target, done = work.done] {
            --target.running;
            if (!target.queue.empty()) {
                job next = std::move(target.queue.front());
                target.queue.pop_front();
                startJob(target, std::move(next));
            }
            done(attempt_outcome::answered);
        });
    }

    // Ends the request if it is complete, else looks again when something is to be decided.
    void settle(const std::shared_ptr<caller> &asking)
    {
        if (asking->ended)
            return;
        if (asking->run.isComplete(m_now)) {
            asking->ended = true;
            const bool inTime = m_now - asking->arrived <= asking->mix.way.targetLatency;
            if (asking->arrived >= start + warm_up && asking->run.isSuccess() && inTime)
                ++m_seen[asking->mix.way.name].inTime;
            return;
        }
        const time_point wake = std::max(asking->run.nextWake(m_now), m_now + duration(1));
        at(wake, [this, asking] {
            if (asking->ended)
                return;
            send(asking, asking->run.onTime(m_now));
            settle(asking);
        });
    }

    std::vector<request_mix> m_mixes;
    std::map<std::string, callers_view> m_seen;
    std::map<std::size_t, double> m_due; // the next arrival of each kind, in ms
    std::minstd_rand m_random { 20261204 };
    replica_set m_replicas;
    replica_subset m_subset { m_replicas, "node-1", "" };
    cold_target_limiter m_cold { "node-1", {} };
    expected_wait_selector m_selector { m_replicas, m_subset, m_cold, "" };
    repeat_budget m_budget { { 0.2, 20, duration(10'000) } };
    load_shedder m_gate { m_replicas, 7 };
    std::map<std::string, target_state> m_targets;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    time_point m_now = start;
};

constexpr double work_ms = 20;
// Requests a second that the targets of a shard can work on.
constexpr double capacity = 1000 * targets_a_shard * slots / work_ms;

callers_view playAt(double load)
{
    request_mix mix = mixOf("sweep", 1, duration(150), work_ms);
    mix.perSecond = load * capacity;
    return virtual_load({ mix }).play()["sweep"];
}

} // namespace

TEST_CASE("Callers of targets that get more requests than they bear")
{
    SUBCASE("are answered in time as often as at the best load")
    {
        double best = 0;
        std::map<double, double> inTime;
        for (const double load : { 0.7, 0.85, 1.0, 1.5, 2.0, 3.0 }) {
            inTime[load] = playAt(load).inTime;
            best = std::max(best, inTime[load]);
        }
        for (const double load : { 1.0, 1.5, 2.0, 3.0 }) {
            CAPTURE(load);
            CAPTURE(best);
            CHECK(inTime[load] >= 0.9 * best);
        }
    }
    SUBCASE("are not refused at half of the capacity")
    {
        const callers_view seen = playAt(0.5);
        CHECK(seen.refused == 0);
        CHECK(seen.shareInTime() > 0.99);
    }
    SUBCASE("are served in the order of their urgency")
    {
        request_mix urgent = mixOf("sweep", 1, duration(150), work_ms);
        request_mix other = mixOf("check", 2, duration(60), work_ms / 3);
        for (const double load : { 1.5, 2.0, 3.0 }) {
            CAPTURE(load);
            urgent.perSecond = 0.6 * load * capacity;
            other.perSecond = 0.6 * load * capacity;
            auto seen = virtual_load({ urgent, other }).play();
            CHECK(seen["sweep"].shareInTime() >= seen["check"].shareInTime());
        }
    }
}

TEST_CASE("A request is refused for the wait at its targets")
{
    replica_set replicas;
    for (const char *shard : { "s1", "s2", "s3" }) {
        for (const char *number : { "a", "b" }) {
            replica entry;
            entry.id = std::string(shard) + number;
            entry.service = shard;
            entry.slots = 2;
            replicas.put(entry, start);
        }
    }
    const auto report = [&](const std::string &id, unsigned waiting) {
        replica_health &health = replicas.find(id)->health;
        const auto ticket = health.onSent(start - duration(10));
        health.onEnded(ticket, attempt_outcome::answered, load_report { 2, waiting, 2 }, start);
    };
    routing_configuration configuration;
    route urgent;
    urgent.name = "urgent";
    urgent.shards = { "s1", "s2", "s3" };
    urgent.targetLatency = duration(100);
    urgent.priority = 0;
    route other = urgent;
    other.name = "other";
    other.priority = 1;
    other.targetLatency = duration(1000);
    configuration.routes = { urgent, other };
    load_shedder gate(replicas, 1);
    gate.configure(configuration);

    SUBCASE("not before targets have reported any")
    {
        CHECK(gate.decide(urgent, start).admitted);
    }
    SUBCASE("not for one busy target beside an idle one")
    {
        for (const char *id : { "s1a", "s2a", "s3a" })
            report(id, 100);
        for (const char *id : { "s1b", "s2b", "s3b" })
            report(id, 0);
        CHECK(gate.decide(urgent, start).admitted);
    }
    SUBCASE("not for one busy shard of several")
    {
        for (const char *id : { "s1a", "s1b" })
            report(id, 100);
        for (const char *id : { "s2a", "s2b", "s3a", "s3b" })
            report(id, 0);
        CHECK(gate.decide(urgent, start).admitted);
    }
    SUBCASE("not for one busy shard while the others have not reported")
    {
        report("s1a", 100);
        CHECK(gate.decide(urgent, start).admitted);
    }
    SUBCASE("when most shards are busy")
    {
        for (const auto &[id, target] : replicas.all())
            report(id, 100);
        CHECK_FALSE(gate.decide(urgent, start).admitted);
        SUBCASE("until the reports are old")
        {
            CHECK(gate.decide(urgent, start + duration(1000)).admitted);
        }
    }
    SUBCASE("the less urgent one first, whatever its own target latency")
    {
        const double allowed = gate.decide(urgent, start).allowedMs;
        CHECK(gate.decide(other, start).allowedMs < allowed);
    }
}
