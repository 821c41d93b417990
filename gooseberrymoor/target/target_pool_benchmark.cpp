#include "gooseberrymoor/target/target_pool.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/membership/target_ownership.h"

#include <benchmark/benchmark.h>
#include <boost/asio/io_context.hpp>

#include <malloc.h>
#include <memory>
#include <vector>

using namespace gooseberrymoor;

namespace {

constexpr std::uint16_t unused_port = 21199;

class always_allowed : public target_ownership
{
public:
    bool isOwner(std::string_view) const override { return true; }
    bool maySend(std::string_view, time_point) const override { return true; }
};

// Measures the memory of one pool without connections whose control task is waiting, as the mean
// over many pools.
void memoryOfPool(benchmark::State &state)
{
    asio::io_context context;
    counters events;
    const always_allowed ownership;
    const target_config target { "t1", { "127.0.0.1", unused_port }, "kl-a", "v1", false };
    std::vector<std::shared_ptr<target_pool>> pools;
    pools.reserve(static_cast<std::size_t>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::size_t before = mallinfo2().uordblks;
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            pools.push_back(std::make_shared<target_pool>(context.get_executor(), "standings",
                                                          target, target_limits { 6, 110, 1 },
                                                          ownership, events));
            pools.back()->open();
        }
        context.poll();
        bytes = mallinfo2().uordblks - before;
    }
    state.counters["sizeof"] = sizeof(target_pool);
    state.counters["bytes_a_pool"]
        = static_cast<double>(bytes) / static_cast<double>(state.range(0));
}
BENCHMARK(memoryOfPool)->Arg(1000)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
