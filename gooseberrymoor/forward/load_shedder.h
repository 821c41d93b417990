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

// What the gate knew when it decided. Value type.
struct shedding_decision
{
    bool admitted = true;
    double waitMs = 0; // that the request would find at its targets
    double allowedMs = 0; // from which on requests like it are refused
};

// Refuses requests at once when their targets have more waiting than can be answered in time.
// Load answered: more requests than the targets bear. Without it each of them waits a little
// longer, until none is in time; with it as many are as there is capacity for, the most urgent
// first. The wait is what the targets report beside their answers; of several shards the middle
// one counts, so that a paused target or a slow one is no overload, and only if half of the shards
// have reported lately.
// Pure decision. Not thread-safe.
class load_shedder
{
public:
    // `replicas` must outlive the gate. `seed`: of the draws between "all" and "none".
    load_shedder(const replica_set &replicas, std::uint32_t seed);

    // The newest configuration: which routes share targets, and how urgent they are.
    void configure(const routing_configuration &configuration);

    // Whether a request along `route` is taken now.
    shedding_decision decide(const route &route, time_point now);

private:
    // The target latencies of the routes to one service, the shortest of each priority.
    using latencies_by_priority = std::map<int, duration>;

    double allowedMs(const route &route);
    double waitMs(const route &route, time_point now) const;

    const replica_set &m_replicas;
    std::minstd_rand m_random;
    std::map<std::string, latencies_by_priority> m_byService;
    std::map<std::string, double> m_allowed; // by route, once it was asked for
};

} // namespace gooseberrymoor
