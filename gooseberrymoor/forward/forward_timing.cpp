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

// Targets register again within some two seconds after an outage of the store.
constexpr duration retry_when_unknown { 400 };
constexpr duration retry_when_full { 100 };
constexpr double longest_retry_share = 0.28; // of the caller's time, so that some is left

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

duration retryAfter(duration left, bool knewTargets)
{
    const duration wanted = knewTargets ? retry_when_full : retry_when_unknown;
    return std::clamp(part(left, longest_retry_share), duration(0), wanted);
}

} // namespace gooseberrymoor
