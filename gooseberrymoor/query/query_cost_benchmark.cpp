// CPU time of query decisions and of building a routing table, for docs/CAPACITY.md.

#include "gooseberrymoor/query/extra_request_budget.h"
#include "gooseberrymoor/query/quantile_hedge_policy.h"
#include "gooseberrymoor/query/query_run.h"
#include "gooseberrymoor/query/snapshot_selector.h"
#include "gooseberrymoor/query/two_choice_selector.h"

#include "gooseberrymoor/membership/cell_view.h"

#include <benchmark/benchmark.h>

using namespace gooseberrymoor;

namespace {

constexpr int targets_per_group = 3;
constexpr std::size_t body_bytes = 200;

std::shared_ptr<const configuration> makeConfiguration(int groups)
{
    auto current = std::make_shared<configuration>();
    service_config service;
    service.name = "standings";
    snapshot_config snapshot { "s", {} };
    for (int g = 0; g < groups; ++g) {
        group_config group { "group-" + std::to_string(g), {} };
        for (int t = 0; t < targets_per_group; ++t) {
            group.targets.push_back({ group.name + "-" + std::to_string(t),
                                      { "127.0.0.1", 9001 },
                                      "kl-" + std::to_string(t),
                                      "v1",
                                      false });
        }
        snapshot.groupOfShard["shard-" + std::to_string(g)] = group.name;
        service.groups.push_back(std::move(group));
    }
    service.snapshots.push_back(std::move(snapshot));
    service.versions = { { "v1", 1000, false } };
    current->services["standings"] = std::move(service);
    return current;
}

cell_view makeView(int nodes)
{
    cell_view view;
    for (int n = 0; n < nodes; ++n)
        view.put({ "node-" + std::to_string(n),
                   1,
                   "kl-0",
                   { "127.0.0.1", 7001 },
                   { "127.0.0.1", 8001 },
                   false });
    return view;
}

// Measures one query whose shards answer one after another, without stragglers.
void queryDecision(benchmark::State &state)
{
    const int shards = static_cast<int>(state.range(0));
    const auto routes
        = std::make_shared<leaf_candidate_table>(makeConfiguration(shards), makeView(9));
    two_choice_selector selector("kl-0", 1);
    quantile_hedge_policy hedging(5);
    extra_request_budget budget(5);
    snapshot_selector snapshots;
    std::mt19937_64 random(1);
    time_point now { duration(1000) };
    for (auto _ : state) {
        query_request request;
        request.service = "standings";
        request.body = std::string(body_bytes, 'q');
        request.deadline = now + duration(300);
        query_run run(std::move(request), routes, { selector, hedging, budget, snapshots, random });
        const query_actions actions = run.start(now);
        now += duration(5);
        for (const outgoing_leaf_request &outgoing : actions.sends) {
            leaf_response response;
            response.outcome = verdict::completed;
            response.snapshot = "s";
            response.body = outgoing.request.body;
            run.onResponse(outgoing.attempt, std::move(response), now);
            run.onTime(now);
        }
        benchmark::DoNotOptimize(run.answer());
    }
    state.counters["per_leaf_request"]
        = benchmark::Counter(static_cast<double>(state.iterations() * shards),
                             benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(queryDecision)->Arg(10)->Arg(160)->Unit(benchmark::kMicrosecond);

// Measures building the routes of a service with `range(0)` targets in a cell of `range(1)` nodes.
void buildRoutes(benchmark::State &state)
{
    const auto current = makeConfiguration(static_cast<int>(state.range(0)) / targets_per_group);
    const cell_view view = makeView(static_cast<int>(state.range(1)));
    for (auto _ : state)
        benchmark::DoNotOptimize(leaf_candidate_table(current, view));
}
BENCHMARK(buildRoutes)
    ->Args({ 30, 9 })
    ->Args({ 480, 9 })
    ->Args({ 480, 76 })
    ->Args({ 24'000, 9 })
    ->Args({ 24'000, 76 })
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
