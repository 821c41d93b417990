#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace gooseberrymoor {

// Limits on the retries and hedges of all nodes together. A service may be sent `ratio` *
// requests + `slack` repeats per `window`. Value type.
struct repeat_limits
{
    double ratio = 0; // of the requests to the service
    double slack = 0; // repeats per window
    duration window { 10'000 };
};

// This node's budget for retries and hedges, by service: a ratio of its own requests plus an equal
// share of the slack, over a sliding window. All nodes together thus stay within the limits without
// coordination. Pure decision logic without I/O. Not thread-safe.
class repeat_budget
{
public:
    explicit repeat_budget(repeat_limits limits);

    // Sets the number of nodes that share the slack, including this one. Zero counts as one.
    void setNodes(std::size_t nodes);

    // Records a caller's request to `service`.
    void onRequest(const std::string &service, time_point now);

    // Whether the budget of `service` allows one more retry or hedge.
    bool mayRepeat(const std::string &service, time_point now);

    // Records a retry or hedge to `service`.
    void onRepeated(const std::string &service, time_point now);

private:
    // Number of events in the sliding window, counted in slices.
    struct recent_count
    {
        std::deque<std::pair<time_point, unsigned>> slices; // start time, number of events
        unsigned total = 0;
    };
    struct usage
    {
        recent_count requests;
        recent_count repeats;
    };

    void add(recent_count &count, time_point now) const;
    void expire(recent_count &count, time_point now) const;

    repeat_limits m_limits;
    std::size_t m_nodes = 1;
    std::map<std::string, usage> m_usage;
};

} // namespace gooseberrymoor
