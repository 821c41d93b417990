#include "gooseberrymoor/rollout/evidence_codec.h"
#include "gooseberrymoor/rollout/leaf_observation.h"
#include "gooseberrymoor/rollout/version_evidence.h"

#include <benchmark/benchmark.h>

#include <string>

using namespace gooseberrymoor;

namespace {

const wall_time start { std::chrono::hours(400'000) };
constexpr int retained_windows = 120;
constexpr int requests_per_row = 50;
constexpr int targets = 15;

evidence_window windowAt(int window, int routes)
{
    evidence_window result;
    result.index = windowOf(start) + window;
    for (int route = 0; route < routes; ++route) {
        for (const char *version : { "v1", "v2" }) {
            for (int i = 0; i < requests_per_row; ++i)
                result
                    .rows[{ "standings", "/route-" + std::to_string(route), version,
                            "target-" + std::to_string(i % targets) }]
                    .add(i == 7 ? error_kind::target_failed : error_kind::none,
                         duration(10 + i * 3));
        }
    }
    return result;
}

// Compares two versions over ten minutes of evidence. Arguments: nodes, routes.
void compareVersions(benchmark::State &state)
{
    version_evidence evidence;
    const wall_time now = start + evidence_window_length * retained_windows;
    for (int window = 1; window < retained_windows; ++window) {
        for (int node = 0; node < state.range(0); ++node)
            evidence.put("n" + std::to_string(node),
                         windowAt(window, static_cast<int>(state.range(1))), now);
    }
    comparison_request request;
    request.service = "standings";
    request.oldVersion = "v1";
    request.newVersion = "v2";
    for (auto _ : state)
        benchmark::DoNotOptimize(evidence.compare(request, now));
}

// Counts one leaf request. Argument: routes.
void recordRequest(benchmark::State &state)
{
    version_evidence evidence;
    std::vector<leaf_observation> observations;
    for (int route = 0; route < state.range(0); ++route)
        observations.push_back({ "standings", "v2", "/route-" + std::to_string(route),
                                 error_kind::none, duration(20) });
    std::size_t next = 0;
    for (auto _ : state)
        evidence.record("n1", observations[next++ % observations.size()], start);
}

// Serializes one window and reports its size in bytes. Argument: routes.
void encodeWindow(benchmark::State &state)
{
    const evidence_window window = windowAt(1, static_cast<int>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = encodeEvidence(window).size();
    state.counters["bytes"] = static_cast<double>(bytes);
}

} // namespace

BENCHMARK(compareVersions)->Args({ 9, 10 })->Args({ 9, 32 })->Args({ 40, 10 });
BENCHMARK(recordRequest)->Arg(10)->Arg(100);
BENCHMARK(encodeWindow)->Arg(10)->Arg(32);
BENCHMARK_MAIN();
