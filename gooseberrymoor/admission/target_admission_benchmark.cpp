#include "gooseberrymoor/admission/target_admission.h"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <deque>
#include <malloc.h>
#include <memory>
#include <new>

using namespace gooseberrymoor;

namespace {

std::size_t allocatedBytes = 0; // currently allocated through operator new

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (!memory)
        throw std::bad_alloc();
    allocatedBytes += malloc_usable_size(memory);
    return memory;
}

void operator delete(void *memory) noexcept
{
    allocatedBytes -= malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace {

constexpr duration distant_timeout { 3'600'000 };

target_limits limitsFor(const benchmark::State &state)
{
    const int slots = static_cast<int>(state.range(0));
    return { slots, slots * 18, slots, duration(0) };
}

// One request from `offer` to `finish` while all other slots are in use.
void offerStartFinish(benchmark::State &state)
{
    const time_point start { duration(1000) };
    target_admission admission(limitsFor(state), start);
    std::deque<target_admission::request_id> running;
    target_admission::request_id lastRequest = 0;
    time_point now = start;
    for (int i = 0; i < state.range(0); ++i) {
        admission.offer(++lastRequest, start + distant_timeout, now);
        running.push_back(*admission.startNext(now));
    }
    for (auto _ : state) {
        now += duration(lastRequest % 64 == 0 ? 1 : 0);
        admission.offer(++lastRequest, start + distant_timeout, now);
        admission.finish(running.front(), leaf_result::answered, now);
        running.pop_front();
        const auto next = admission.startNext(now);
        running.push_back(*next);
        benchmark::DoNotOptimize(next);
    }
}
BENCHMARK(offerStartFinish)->Arg(3)->Arg(6)->Arg(110);

// Memory of one admission: idle, and with all slots in use and a full queue.
void memoryOfOne(benchmark::State &state)
{
    const time_point start { duration(1000) };
    std::size_t idle = 0;
    std::size_t full = 0;
    for (auto _ : state) {
        const std::size_t before = allocatedBytes;
        auto admission = std::make_unique<target_admission>(limitsFor(state), start);
        idle = allocatedBytes - before;
        target_admission::request_id lastRequest = 0;
        while (admission->offer(++lastRequest, start + distant_timeout, start)
               == offer_result::queued) {
            if (admission->running() < state.range(0))
                admission->startNext(start);
        }
        full = allocatedBytes - before;
    }
    state.counters["sizeof"] = sizeof(target_admission);
    state.counters["bytes_idle"] = static_cast<double>(idle);
    state.counters["bytes_full"] = static_cast<double>(full);
}
BENCHMARK(memoryOfOne)->Arg(3)->Arg(6)->Arg(110)->Iterations(10);

} // namespace

BENCHMARK_MAIN();
