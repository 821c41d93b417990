#include "gooseberrymoor/forward/forward_timing.h"

#include "gooseberrymoor/routing/route.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration caller_round_trip { 12 }; // between caller and node
constexpr duration connection_setup_time { 7 }; // before the first request on a connection
constexpr duration response_margin { 100 }; // for passing a response on to the caller
constexpr duration min_response_time { 300 }; // targets pause for a few hundred milliseconds
constexpr duration min_hedge_delay { 5 };
constexpr double min_hedge_fraction = 0.2; // of the target latency
constexpr double max_hedge_fraction = 0.45; // of the target latency

// Targets register again within about two seconds after a store outage.
constexpr duration retry_delay_without_targets { 400 };
constexpr duration retry_delay_when_full { 100 };
constexpr double max_retry_fraction = 0.28; // of the remaining time, so that a retry can succeed

duration scaled(duration whole, double share)
{
    return duration(static_cast<duration::rep>(static_cast<double>(whole.count()) * share));
}

} // namespace

time_point softDeadlineFor(const route &route, time_point arrived, bool firstOnConnection)
{
    duration reserve = caller_round_trip;
    if (firstOnConnection)
        reserve += connection_setup_time;
    return arrived + std::max(route.targetLatency - reserve, route.targetLatency / 2);
}

duration hedgeDelay(const route &route, duration typicalLatency)
{
    const duration earliest
        = std::max(min_hedge_delay, scaled(route.targetLatency, min_hedge_fraction));
    const duration latest = std::max(earliest, scaled(route.targetLatency, max_hedge_fraction));
    return std::clamp(typicalLatency, earliest, latest);
}

time_point latestSendTime(duration targetLatency, duration typicalLatency, duration maxTime,
                          time_point end)
{
    const duration expected = std::max(
        min_response_time, typicalLatency > duration(0) ? typicalLatency : targetLatency);
    return end - std::min(expected, maxTime) - response_margin;
}

duration retryAfter(duration remaining, bool hadTargets, duration untilAvailable)
{
    if (untilAvailable > duration(0) && untilAvailable < remaining)
        return untilAvailable;
    const duration wanted = hadTargets ? retry_delay_when_full : retry_delay_without_targets;
    return std::clamp(scaled(remaining, max_retry_fraction), duration(0), wanted);
}

} // namespace gooseberrymoor
