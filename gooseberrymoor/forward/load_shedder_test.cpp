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
constexpr std::size_t targets_per_shard = 2;
constexpr unsigned slots = 3;
constexpr std::size_t max_queue_length = 24;
constexpr double work_time_spread = 0.35; // of the mean
const time_point start { duration(100'000) };
constexpr duration simulated_time { 12'000 };
constexpr duration warm_up { 2000 };

std::string shardName(std::size_t number)
{
    return "shard-" + std::to_string(number);
}

// Requests of one route: arrival rate, and time that a target takes to process one part.
struct workload_config
{
    route requestRoute;
    double workTimeMs = 0;
    double requestsPerSecond = 0;
};

workload_config makeWorkload(const std::string &name, int priority, duration targetLatency,
                             double workTimeMs)
{
    workload_config workload;
    workload.requestRoute.name = name;
    workload.requestRoute.priority = priority;
    workload.requestRoute.targetLatency = targetLatency;
    workload.requestRoute.timeout = 6 * targetLatency;
    workload.requestRoute.minSuccessShare = 0.8;
    workload.requestRoute.maxAttempts = 3;
    for (std::size_t i = 0; i < shard_count; ++i)
        workload.requestRoute.shards.push_back(shardName(i));
    workload.workTimeMs = workTimeMs;
    return workload;
}

// Outcomes of the requests of one route after the warm-up.
struct workload_stats
{
    unsigned total = 0;
    unsigned inTime = 0;
    unsigned refused = 0;

    double fractionInTime() const { return total == 0 ? 0 : double(inTime) / total; }
};

// Simulates callers, one node and the targets in virtual time.
class load_simulation
{
public:
    explicit load_simulation(std::vector<workload_config> workloads)
        : m_workloads(std::move(workloads))
    {
        routing_configuration configuration;
        for (std::size_t shard = 0; shard < shard_count; ++shard) {
            configuration.services[shardName(shard)].connectionLimit = 400;
            for (std::size_t i = 0; i < targets_per_shard; ++i)
                addTarget(shard, i);
        }
        for (const workload_config &workload : m_workloads)
            configuration.routes.push_back(workload.requestRoute);
        m_subset.configure(configuration);
        m_shedder.configure(configuration);
    }

    // Runs the simulation; returns the outcomes by route.
    std::map<std::string, workload_stats> simulate()
    {
        for (std::size_t i = 0; i < m_workloads.size(); ++i)
            at(start, [this, i] { onArrival(i); });
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.run();
        }
        return m_stats;
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
        std::function<void(attempt_outcome)> onDone;
    };
    struct target_state
    {
        unsigned running = 0;
        std::deque<job> queue;
    };
    struct simulated_request
    {
        const workload_config &workload;
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

    void onArrival(std::size_t kind)
    {
        const workload_config &workload = m_workloads[kind];
        std::exponential_distribution<double> interarrivalMs(workload.requestsPerSecond / 1000);
        m_nextArrivalMs[kind] += interarrivalMs(m_random);
        const time_point next = start + duration(static_cast<duration::rep>(m_nextArrivalMs[kind]));
        if (next < start + simulated_time)
            at(next, [this, kind] { onArrival(kind); });
        if (m_now > start)
            startRequest(workload);
    }

    void startRequest(const workload_config &workload)
    {
        const bool isMeasured = m_now >= start + warm_up;
        workload_stats &stats = m_stats[workload.requestRoute.name];
        stats.total += isMeasured ? 1 : 0;
        if (!m_shedder.decide(workload.requestRoute, m_now).admitted) {
            stats.refused += isMeasured ? 1 : 0;
            return;
        }
        run_plan plan;
        plan.services = workload.requestRoute.shards;
        plan.isSharded = true;
        plan.maxAttempts = workload.requestRoute.maxAttempts;
        plan.minSuccessShare = workload.requestRoute.minSuccessShare;
        plan.hedgeDelay = hedgeDelay(workload.requestRoute, duration(0));
        plan.softDeadline = softDeadlineFor(workload.requestRoute, m_now, false);
        plan.deadline = m_now + workload.requestRoute.timeout;
        auto request = std::make_shared<simulated_request>(simulated_request {
            workload, m_now, request_run(std::move(plan), m_selector, m_budget) });
        send(request, request->run.start(m_now));
        completeOrSchedule(request);
    }

    void send(const std::shared_ptr<simulated_request> &request,
              const std::vector<planned_attempt> &attempts)
    {
        for (const planned_attempt &each : attempts) {
            const auto target = each.target;
            const std::uint64_t ticket = target->health.onSent(m_now);
            std::uniform_real_distribution<double> factor(1 - work_time_spread,
                                                          1 + work_time_spread);
            const duration work(std::llround(request->workload.workTimeMs * factor(m_random)));
            const auto onDone = [this, request, target, ticket, shard = each.shard,
                                 attempt = each.attempt](attempt_outcome outcome) {
                const target_state &state = m_targets[target->entry.id];
                const load_report load { state.running, static_cast<unsigned>(state.queue.size()),
                                         slots };
                target->health.onEnded(ticket, outcome, load, m_now);
                send(request, request->run.onAttemptEnded(shard, attempt, outcome, m_now));
                completeOrSchedule(request);
            };
            enqueue(m_targets[target->entry.id], { work, onDone });
        }
    }

    void enqueue(target_state &target, job work)
    {
        if (target.running < slots) {
            startJob(target, std::move(work));
        } else if (target.queue.size() < max_queue_length) {
            target.queue.push_back(std::move(work));
        } else {
            at(m_now, [onDone = work.onDone] { onDone(attempt_outcome::refused); });
        }
    }

    void startJob(target_state &target, job work)
    {
        ++target.running;
        at(m_now + work.work, [this, &target, onDone = work.onDone] {
            --target.running;
            if (!target.queue.empty()) {
                job next = std::move(target.queue.front());
                target.queue.pop_front();
                startJob(target, std::move(next));
            }
            onDone(attempt_outcome::answered);
        });
    }

    // Completes the request if possible; otherwise schedules its next timer.
    void completeOrSchedule(const std::shared_ptr<simulated_request> &request)
    {
        if (request->ended)
            return;
        if (request->run.isComplete(m_now)) {
            request->ended = true;
            const bool inTime
                = m_now - request->arrived <= request->workload.requestRoute.targetLatency;
            if (request->arrived >= start + warm_up && request->run.isSuccess() && inTime)
                ++m_stats[request->workload.requestRoute.name].inTime;
            return;
        }
        const time_point wake = std::max(request->run.nextWake(m_now), m_now + duration(1));
        at(wake, [this, request] {
            if (request->ended)
                return;
            send(request, request->run.onTime(m_now));
            completeOrSchedule(request);
        });
    }

    std::vector<workload_config> m_workloads;
    std::map<std::string, workload_stats> m_stats;
    std::map<std::size_t, double> m_nextArrivalMs; // by workload, since the start
    std::minstd_rand m_random { 20261204 };
    replica_set m_replicas;
    replica_subset m_subset { m_replicas, "node-1", "" };
    cold_target_limiter m_cold { "node-1", {} };
    expected_wait_selector m_selector { m_replicas, m_subset, m_cold, "" };
    repeat_budget m_budget { { 0.2, 20, duration(10'000) } };
    load_shedder m_shedder { m_replicas, 7 };
    std::map<std::string, target_state> m_targets;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    time_point m_now = start;
};

constexpr double work_time_ms = 20;
// Requests per second that the targets of one shard can process.
constexpr double capacity = 1000 * targets_per_shard * slots / work_time_ms;

workload_stats simulateLoad(double load)
{
    workload_config workload = makeWorkload("single", 1, duration(150), work_time_ms);
    workload.requestsPerSecond = load * capacity;
    return load_simulation({ workload }).simulate()["single"];
}

} // namespace

TEST_CASE("Requests to targets under a constant load")
{
    SUBCASE("are answered in time at 1 to 3 times the capacity nearly as often as at the best load")
    {
        double best = 0;
        std::map<double, double> inTime;
        for (const double load : { 0.7, 0.85, 1.0, 1.5, 2.0, 3.0 }) {
            inTime[load] = simulateLoad(load).inTime;
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
        const workload_stats stats = simulateLoad(0.5);
        CHECK(stats.refused == 0);
        CHECK(stats.fractionInTime() > 0.99);
    }
    SUBCASE("are answered in time at least as often with a higher priority, in overload")
    {
        workload_config highPriority = makeWorkload("high", 1, duration(150), work_time_ms);
        workload_config lowPriority = makeWorkload("low", 2, duration(60), work_time_ms / 3);
        for (const double load : { 1.5, 2.0, 3.0 }) {
            CAPTURE(load);
            highPriority.requestsPerSecond = 0.6 * load * capacity;
            lowPriority.requestsPerSecond = 0.6 * load * capacity;
            auto stats = load_simulation({ highPriority, lowPriority }).simulate();
            CHECK(stats["high"].fractionInTime() >= stats["low"].fractionInTime());
        }
    }
}

TEST_CASE("The queues at its targets decide whether a request is admitted")
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
    route highPriority;
    highPriority.name = "high";
    highPriority.shards = { "s1", "s2", "s3" };
    highPriority.targetLatency = duration(100);
    highPriority.priority = 0;
    route lowPriority = highPriority;
    lowPriority.name = "low";
    lowPriority.priority = 1;
    lowPriority.targetLatency = duration(1000);
    configuration.routes = { highPriority, lowPriority };
    load_shedder shedder(replicas, 1);
    shedder.configure(configuration);

    SUBCASE("It is admitted before targets have reported their load")
    {
        CHECK(shedder.decide(highPriority, start).admitted);
    }
    SUBCASE("It is admitted if each shard has an idle target beside a busy one")
    {
        for (const char *id : { "s1a", "s2a", "s3a" })
            report(id, 100);
        for (const char *id : { "s1b", "s2b", "s3b" })
            report(id, 0);
        CHECK(shedder.decide(highPriority, start).admitted);
    }
    SUBCASE("It is admitted if only one of several shards is busy")
    {
        for (const char *id : { "s1a", "s1b" })
            report(id, 100);
        for (const char *id : { "s2a", "s2b", "s3a", "s3b" })
            report(id, 0);
        CHECK(shedder.decide(highPriority, start).admitted);
    }
    SUBCASE("It is admitted if one shard is busy and the others have not reported")
    {
        report("s1a", 100);
        CHECK(shedder.decide(highPriority, start).admitted);
    }
    SUBCASE("It is refused if all shards are busy")
    {
        for (const auto &[id, target] : replicas.all())
            report(id, 100);
        CHECK_FALSE(shedder.decide(highPriority, start).admitted);
        SUBCASE("and admitted again once the reports are too old")
        {
            CHECK(shedder.decide(highPriority, start + duration(1000)).admitted);
        }
    }
    SUBCASE("It is refused at shorter queues with a lower priority, even if its target latency is "
            "longer")
    {
        const double allowed = shedder.decide(highPriority, start).allowedMs;
        CHECK(shedder.decide(lowPriority, start).allowedMs < allowed);
    }
}
