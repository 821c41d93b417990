#include "gooseberrymoor/base/millis_clock.h"

#include <atomic>
#include <ctime>

namespace gooseberrymoor {

namespace {

constexpr std::int64_t not_manual = -1;
constexpr std::int64_t millis_per_second = 1000;
constexpr std::int64_t nanos_per_milli = 1'000'000;

std::atomic<std::int64_t> manualMillis { not_manual };

} // namespace

time_point millis_clock::now() noexcept
{
    const std::int64_t manual = manualMillis.load(std::memory_order_relaxed);
    if (manual != not_manual)
        return time_point(duration(manual));
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(duration(value.tv_sec * millis_per_second + value.tv_nsec / nanos_per_milli));
}

bool millis_clock::isManual() noexcept
{
    return manualMillis.load(std::memory_order_relaxed) != not_manual;
}

void millis_clock::setManual(std::int64_t milliseconds) noexcept
{
    manualMillis.store(milliseconds, std::memory_order_relaxed);
}

} // namespace gooseberrymoor
