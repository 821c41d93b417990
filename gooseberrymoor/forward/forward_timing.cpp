#include "gooseberrymoor/forward/forward_timing.h"

#include "gooseberrymoor/routing/route.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration way_back { 12 }; // request and answer between caller and node
constexpr duration connection_set_up { 7 }; // before the first request of a connection
constexpr duration shortest_hedge { 5 };
constexpr double earliest_hedge = 0.2; // of the target latency
constexpr double latest_hedge = 0.45;

duration part(duration whole, double share)
{
    return duration(static_cast<duration::rep>(static_cast<double>(whole.count()) * share));
}

} // namespace

time_point answerTime(const route &route, time_point arrived, bool firstOnConnection)
{
    duration reserve = way_back;
    if (firstOnConnection)
        reserve += connection_set_up;
    return arrived + std::max(route.targetLatency - reserve, route.targetLatency / 2);
}

duration hedgeDelay(const route &route, duration usual)
{
    const duration earliest = std::max(shortest_hedge, part(route.targetLatency, earliest_hedge));
    const duration latest = std::max(earliest, part(route.targetLatency, latest_hedge));
    return std::clamp(usual, earliest, latest);
}

} // namespace gooseberrymoor
