#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace gooseberrymoor {

// What a fleet may send beyond the first request for each caller's request. Value type.
struct repeat_limits
{
    double ratio = 0; // of the requests for a service
    double slack = 0; // requests a window on top, for all nodes together
    duration window { 10'000 };
};

// This node's share of the fleet's retries and hedges, for each service: a ratio of its own
// requests and an equal part of the slack, over a sliding window. So all nodes together keep to
// the fleet's limit without a word between them. Pure decision. Not thread-safe.
class repeat_budget
{
public:
    explicit repeat_budget(repeat_limits limits);

    // How many nodes share the slack, this one included; at least one.
    void setNodes(std::size_t nodes);

    // A caller's request for `service` came in.
    void onRequest(const std::string &service, time_point now);

    // Whether one more request may be sent to `service` again.
    bool mayRepeat(const std::string &service, time_point now);

    // One was sent again.
    void onRepeated(const std::string &service, time_point now);

private:
    // Events of the last window, counted in slices of it.
    struct recent_count
    {
        std::deque<std::pair<time_point, unsigned>> slices; // start of the slice, events
        unsigned total = 0;
    };
    struct usage
    {
        recent_count requests;
        recent_count repeats;
    };

    void add(recent_count &count, time_point now) const;
    void forget(recent_count &count, time_point now) const;

    repeat_limits m_limits;
    std::size_t m_nodes = 1;
    std::map<std::string, usage> m_usage;
};

} // namespace gooseberrymoor
