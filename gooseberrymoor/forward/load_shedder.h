#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace gooseberrymoor {

class replica_set;
struct route;
struct routing_configuration;

// A decision with its inputs. Value type.
struct shedding_decision
{
    bool admitted = true;
    double waitMs = 0; // expected queueing time at the targets
    // Expected queueing time up to which all requests of the route are admitted.
    double allowedMs = 0;
};

// Load shedding: refuses requests immediately if the queues of their targets are too long to
// respond in time.
//
// When targets get more requests than they can process, queues grow until every response is late.
// With load shedding, as many requests as the targets can process are answered in time, those with
// the highest priority first.
//
// The expected queueing time is computed from the load that targets report with their responses.
// For several shards it is the median, so that a single paused or slow target is not taken for
// overload, and at least half of the shards must have reported recently.
//
// Pure decision logic without I/O. Not thread-safe.
class load_shedder
{
public:
    // `replicas` must outlive the load shedder. If the expected queueing time exceeds the allowed
    // one only moderately, requests are refused at random; `seed` initializes the random numbers.
    load_shedder(const replica_set &replicas, std::uint32_t seed);

    // Computes the shortest target latency per service and priority from the routes of
    // `configuration`.
    void configure(const routing_configuration &configuration);

    // Decides whether to admit a request of `route` now.
    shedding_decision decide(const route &route, time_point now);

private:
    // Shortest target latency of the routes to one service, by priority.
    using latencies_by_priority = std::map<int, duration>;

    double allowedMs(const route &route);
    double waitMs(const route &route, time_point now) const;

    const replica_set &m_replicas;
    std::minstd_rand m_random;
    std::map<std::string, latencies_by_priority> m_latenciesByService;
    std::map<std::string, double> m_allowedMs; // by route; computed on first use
};

} // namespace gooseberrymoor
