#include "gooseberrymoor/base/signal.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/manual_clock.h"
#include "gooseberrymoor/base/task.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

// Waits again and again until `end`, and counts how often it was woken.
asio::awaitable<void> waitInSteps(gooseberrymoor::signal &wake, duration step, time_point end,
                                  int &wakes)
{
    time_point next = millis_clock::now() + step;
    while (millis_clock::now() < end) {
        co_await wake.wait(next);
        ++wakes;
        if (millis_clock::now() >= next)
            next += step;
    }
}

} // namespace

TEST_CASE("Tasks that wait on one signal for different times")
{
    manual_clock time;
    asio::io_context context;
    counters events;
    gooseberrymoor::signal wake(context.get_executor());
    int wakes = 0;
    const time_point end = millis_clock::now() + duration(100);
    startTask(context.get_executor(), events, "first", waitInSteps(wake, duration(10), end, wakes));
    startTask(context.get_executor(), events, "second",
              waitInSteps(wake, duration(15), end, wakes));

    SUBCASE("sleep in between")
    {
        constexpr int mostTurns = 10'000;
        int turns = 0;
        while (!context.stopped() && turns < mostTurns) {
            while (turns < mostTurns && context.poll_one() > 0)
                ++turns;
            time.advance(duration(1));
        }
        CHECK(turns < mostTurns);
        CHECK(wakes < 100);
    }
}
