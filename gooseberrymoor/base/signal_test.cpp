#include "gooseberrymoor/base/signal.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/manual_clock.h"
#include "gooseberrymoor/base/task.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

// Waits for one `step` after another until `end`, and counts how often it is woken.
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

// Guards against tasks that spin: a timer that kept another waiter's passed expiry made every wait
// return at once.
TEST_CASE("Tasks that wait on one signal with different timeouts")
{
    manual_clock clock;
    asio::io_context context;
    counters events;
    gooseberrymoor::signal wake(context.get_executor());
    int wakes = 0;
    const time_point end = millis_clock::now() + duration(100);
    startTask(context.get_executor(), events, "first", waitInSteps(wake, duration(10), end, wakes));
    startTask(context.get_executor(), events, "second",
              waitInSteps(wake, duration(15), end, wakes));

    SUBCASE("do not spin between the timeouts")
    {
        constexpr int maxHandlers = 10'000;
        int handlers = 0;
        while (!context.stopped() && handlers < maxHandlers) {
            while (handlers < maxHandlers && context.poll_one() > 0)
                ++handlers;
            clock.advance(duration(1));
        }
        CHECK(handlers < maxHandlers);
        CHECK(wakes < 100);
    }
}
