// Prints the latency of queries in virtual time when some targets are slow, for each combination of
// hedge policy and selector with the same budget for extra load.
// Usage: query_tail_benchmark [SEEDS] [QUERIES]

#include "gooseberrymoor/query/extra_request_budget.h"
#include "gooseberrymoor/query/fixed_hedge_policy.h"
#include "gooseberrymoor/query/quantile_hedge_policy.h"
#include "gooseberrymoor/query/query_run.h"
#include "gooseberrymoor/query/round_robin_selector.h"
#include "gooseberrymoor/query/snapshot_selector.h"
#include "gooseberrymoor/query/two_choice_selector.h"

#include "gooseberrymoor/base/name_table.h"
#include "gooseberrymoor/membership/cell_view.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>

using namespace gooseberrymoor;

namespace {

constexpr int targets_per_group = 3;
constexpr int slots_per_target = 4;
constexpr int budget_percent = 5;
constexpr double mean_service_ms = 8;
constexpr double service_time_sigma = 0.4; // standard deviation of the log service time
constexpr double straggler_fraction = 0.02;
constexpr double straggler_factor = 10;
constexpr double slow_target_factor = 5;
constexpr double utilization = 0.35; // of the slots of all but the slow target
constexpr duration timeout { 300 };
constexpr int excluded_queries = 50; // at the start and end of a run, where load is not steady
constexpr int default_seeds = 10;
constexpr int default_queries = 1000;

enum class hedge_kind {
    none,
    fixed_50_ms,
    fixed_20_ms,
    quantile,
};

constexpr name_table<hedge_kind, 4> names(hedge_kind)
{
    return { { { hedge_kind::none, "none" },
               { hedge_kind::fixed_50_ms, "fixed 50 ms" },
               { hedge_kind::fixed_20_ms, "fixed 20 ms" },
               { hedge_kind::quantile, "quantile" } } };
}

enum class selector_kind {
    round_robin,
    two_choice,
};

constexpr name_table<selector_kind, 2> names(selector_kind)
{
    return { { { selector_kind::round_robin, "round robin" },
               { selector_kind::two_choice, "two choices" } } };
}

struct variant
{
    hedge_kind hedge;
    selector_kind selector;
};

struct result_totals
{
    std::vector<std::int64_t> latencies; // in ms; an incomplete query counts as `timeout`
    std::int64_t shards = 0;
    std::int64_t covered = 0;
    std::int64_t firstRequests = 0;
    std::int64_t extraRequests = 0;
};

std::unique_ptr<leaf_selector> makeSelector(selector_kind kind, std::uint64_t seed)
{
    switch (kind) {
    case selector_kind::round_robin:
        return std::make_unique<round_robin_selector>();
    default:
        return std::make_unique<two_choice_selector>("kl-0", seed);
    }
}

std::unique_ptr<hedge_policy> makeHedging(hedge_kind kind)
{
    switch (kind) {
    case hedge_kind::none:
        return std::make_unique<fixed_hedge_policy>(std::nullopt);
    case hedge_kind::fixed_50_ms:
        return std::make_unique<fixed_hedge_policy>(duration(50));
    case hedge_kind::fixed_20_ms:
        return std::make_unique<fixed_hedge_policy>(duration(20));
    default:
        return std::make_unique<quantile_hedge_policy>(budget_percent);
    }
}

std::shared_ptr<const leaf_candidate_table> makeRoutes(int groups)
{
    auto current = std::make_shared<configuration>();
    service_config service;
    service.name = "standings";
    snapshot_config snapshot { "s", {} };
    for (int g = 0; g < groups; ++g) {
        group_config group { "g" + std::to_string(g), {} };
        for (int t = 0; t < targets_per_group; ++t) {
            group.targets.push_back({ std::to_string(g) + "-" + std::to_string(t),
                                      { "127.0.0.1", 9001 },
                                      "kl-" + std::to_string(t),
                                      "v1",
                                      false });
        }
        snapshot.groupOfShard["h" + std::to_string(g)] = group.name;
        service.groups.push_back(std::move(group));
    }
    service.snapshots.push_back(std::move(snapshot));
    service.versions = { { "v1", 1000, false } };
    current->services["standings"] = std::move(service);
    cell_view view;
    view.put({ "n1", 1, "kl-0", { "127.0.0.1", 7001 }, { "127.0.0.1", 8001 }, false });
    return std::make_shared<leaf_candidate_table>(current, view);
}

// Simulates targets with a limited number of slots and a queue. One target is slow, and some
// requests are stragglers. The service time of a leaf request is drawn when it starts; a cancelled
// request leaves its queue or frees its slot.
class simulation
{
public:
    simulation(int groups, variant choice, std::uint64_t seed)
        : m_groups(groups), m_routes(makeRoutes(groups)),
          m_selector(makeSelector(choice.selector, seed)), m_hedging(makeHedging(choice.hedge)),
          m_budget(choice.hedge == hedge_kind::none ? 0 : budget_percent), m_policyRandom(seed),
          m_arrivalRandom(seed + 1), m_serviceRandom(seed + 2)
    {
    }

    void run(int queries, result_totals &totals)
    {
        const double requestsPerMs = utilization * (targets_per_group - 1.0 / m_groups)
            * slots_per_target / mean_service_ms;
        std::exponential_distribution<double> interarrivalMs(requestsPerMs);
        double arrivalMs = 1000;
        m_lastCountedQuery = excluded_queries + queries;
        for (int i = 0; i < m_lastCountedQuery + excluded_queries; ++i) {
            arrivalMs += interarrivalMs(m_arrivalRandom);
            schedule(time_point(duration(static_cast<std::int64_t>(arrivalMs))),
                     [this, &totals] { startQuery(totals); });
        }
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    struct active_query
    {
        std::unique_ptr<query_run> run;
        time_point startedAt;
        time_point wakeAt = time_point::max();
    };
    struct leaf_job
    {
        int query;
        int attempt;
        std::string target;
        bool running = false;
        bool ended = false;
    };
    struct target_state
    {
        int running = 0;
        std::deque<std::shared_ptr<leaf_job>> queue;
    };

    void schedule(time_point at, std::function<void()> action)
    {
        m_events.push({ at, ++m_order, std::move(action) });
    }

    void startQuery(result_totals &totals)
    {
        query_request request;
        request.service = "standings";
        request.deadline = m_now + timeout;
        const int id = ++m_lastQuery;
        active_query &query = m_queries[id];
        query.run = std::make_unique<query_run>(
            request, m_routes,
            query_policies { *m_selector, *m_hedging, m_budget, m_snapshots, m_policyRandom });
        query.startedAt = m_now;
        m_totals = &totals;
        perform(id, query.run->start(m_now));
    }

    void perform(int id, query_actions actions)
    {
        for (const int attempt : actions.cancels)
            cancel(id, attempt);
        for (const outgoing_leaf_request &outgoing : actions.sends) {
            auto job = std::make_shared<leaf_job>(
                leaf_job { id, outgoing.attempt, outgoing.request.target });
            m_jobs[{ id, outgoing.attempt }] = job;
            target_state &target = m_targets[job->target];
            target.queue.push_back(job);
            startNext(target);
        }
        active_query &query = m_queries.at(id);
        if (query.run->isFinished()) {
            finish(id);
            return;
        }
        const time_point wake = query.run->nextWake();
        if (wake < query.wakeAt) {
            query.wakeAt = wake;
            schedule(wake, [this, id, wake] { onTime(id, wake); });
        }
    }

    void onTime(int id, time_point wake)
    {
        const auto found = m_queries.find(id);
        if (found == m_queries.end() || found->second.wakeAt != wake)
            return;
        found->second.wakeAt = time_point::max();
        perform(id, found->second.run->onTime(m_now));
    }

    void startNext(target_state &target)
    {
        while (target.running < slots_per_target && !target.queue.empty()) {
            const auto job = target.queue.front();
            target.queue.pop_front();
            job->running = true;
            ++target.running;
            schedule(m_now + drawServiceTime(job->target), [this, job] { answer(job); });
        }
    }

    duration drawServiceTime(const std::string &target)
    {
        std::lognormal_distribution<double> serviceTimeMs(
            std::log(mean_service_ms) - service_time_sigma * service_time_sigma / 2,
            service_time_sigma);
        std::uniform_real_distribution<double> uniform(0, 1);
        double timeMs = serviceTimeMs(m_serviceRandom);
        if (uniform(m_serviceRandom) < straggler_fraction)
            timeMs *= straggler_factor;
        if (target == "0-0")
            timeMs *= slow_target_factor;
        return duration(std::max<std::int64_t>(1, std::llround(timeMs)));
    }

    void answer(const std::shared_ptr<leaf_job> &job)
    {
        if (job->ended)
            return;
        release(*job);
        leaf_response response;
        response.outcome = verdict::completed;
        response.snapshot = "s";
        response.queued = static_cast<int>(m_targets[job->target].queue.size());
        m_jobs.erase({ job->query, job->attempt });
        const auto found = m_queries.find(job->query);
        if (found != m_queries.end())
            perform(job->query, found->second.run->onResponse(job->attempt, response, m_now));
    }

    void cancel(int query, int attempt)
    {
        const auto found = m_jobs.find({ query, attempt });
        if (found == m_jobs.end())
            return;
        const auto job = found->second;
        m_jobs.erase(found);
        if (job->running)
            release(*job);
        else
            std::erase(m_targets[job->target].queue, job);
        job->ended = true;
    }

    void release(leaf_job &job)
    {
        job.ended = true;
        target_state &target = m_targets[job.target];
        --target.running;
        startNext(target);
    }

    void finish(int id)
    {
        const active_query query = std::move(m_queries.at(id));
        m_queries.erase(id);
        if (id <= excluded_queries || id > m_lastCountedQuery)
            return;
        const query_answer answer = query.run->answer();
        const duration elapsed = m_now - query.startedAt;
        m_totals->latencies.push_back(answer.uncovered.empty() ? elapsed.count() : timeout.count());
        m_totals->shards += static_cast<std::int64_t>(answer.shards());
        m_totals->covered += static_cast<std::int64_t>(answer.results.size());
        m_totals->firstRequests += answer.leafRequests - answer.extraRequests;
        m_totals->extraRequests += answer.extraRequests;
    }

    int m_groups;
    std::shared_ptr<const leaf_candidate_table> m_routes;
    std::unique_ptr<leaf_selector> m_selector;
    std::unique_ptr<hedge_policy> m_hedging;
    extra_request_budget m_budget;
    snapshot_selector m_snapshots;
    std::mt19937_64 m_policyRandom;
    std::mt19937_64 m_arrivalRandom;
    std::mt19937_64 m_serviceRandom;
    std::priority_queue<event> m_events;
    std::map<int, active_query> m_queries;
    std::map<std::pair<int, int>, std::shared_ptr<leaf_job>> m_jobs;
    std::map<std::string, target_state> m_targets;
    result_totals *m_totals = nullptr;
    time_point m_now {};
    std::uint64_t m_order = 0;
    int m_lastQuery = 0;
    int m_lastCountedQuery = 0;
};

std::int64_t quantileOf(const std::vector<std::int64_t> &sorted, double quantile)
{
    const double position = quantile * static_cast<double>(sorted.size());
    const auto index = static_cast<std::size_t>(std::ceil(position));
    return sorted[std::clamp<std::size_t>(index, 1, sorted.size()) - 1];
}

void printRow(int groups, variant choice, result_totals &result)
{
    std::ranges::sort(result.latencies);
    std::printf("| %d | %s | %s | %lld | %lld | %lld | %.3f%% | %.2f%% |\n", groups,
                std::string(nameOf(choice.selector)).c_str(),
                std::string(nameOf(choice.hedge)).c_str(),
                static_cast<long long>(quantileOf(result.latencies, 0.5)),
                static_cast<long long>(quantileOf(result.latencies, 0.99)),
                static_cast<long long>(quantileOf(result.latencies, 0.999)),
                100.0 * static_cast<double>(result.covered) / static_cast<double>(result.shards),
                100.0 * static_cast<double>(result.extraRequests)
                    / static_cast<double>(result.firstRequests));
}

} // namespace

int main(int argc, char *argv[])
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : default_seeds;
    const int queries = argc > 2 ? std::atoi(argv[2]) : default_queries;
    std::printf("| shards | selector | hedge | p50 ms | p99 ms | p99.9 ms | coverage | extra |\n"
                "|---|---|---|---|---|---|---|---|\n");
    for (const int groups : { 10, 40, 160 }) {
        for (const selector_kind selector :
             { selector_kind::round_robin, selector_kind::two_choice }) {
            for (const hedge_kind hedge : { hedge_kind::none, hedge_kind::fixed_50_ms,
                                            hedge_kind::fixed_20_ms, hedge_kind::quantile }) {
                result_totals result;
                const variant choice { hedge, selector };
                for (int seed = 1; seed <= seeds; ++seed) {
                    simulation simulated(groups, choice, static_cast<std::uint64_t>(seed) * 1000);
                    simulated.run(queries, result);
                }
                printRow(groups, choice, result);
                std::fflush(stdout);
            }
        }
    }
    return 0;
}
