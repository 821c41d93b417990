#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct known_replica;
struct routing_configuration;

// How far the request rate of a cold target may exceed its configured rate. The limit is
// `factor` * rate + `slack`. Value type.
struct cold_rate_tolerance
{
    double factor = 1;
    double slack = 0; // requests per second
};

// Limits the rate of requests that all nodes together send to a cold target. A single live node,
// selected by rendezvous hashing, may send to it; all other nodes skip the target until it is warm.
// During a membership change two nodes may both consider themselves selected, so each uses at most
// half of the limit, and never more than the configured rate.
// Pure decision logic without I/O. Not thread-safe.
class cold_target_limiter
{
public:
    cold_target_limiter(std::string ownName, cold_rate_tolerance tolerance);

    // Sets the names of the live nodes, including this one.
    void setNodes(std::vector<std::string> nodes) { m_nodes = std::move(nodes); }

    // Reads the cold request rate of each service from `configuration`.
    void configure(const routing_configuration &configuration);

    // Whether the cold limit lets this node send one request to `target` now; always true for a
    // warm target.
    bool maySendNow(const known_replica &target, time_point now) const;

    // Records that a request was sent to `target`.
    void onSent(const known_replica &target, time_point now);

private:
    bool isDesignatedSender(const std::string &id) const;

    std::string m_ownName;
    cold_rate_tolerance m_tolerance;
    std::vector<std::string> m_nodes;
    std::map<std::string, double> m_ratePerSecond; // by service; only configured rates
    std::map<std::string, std::deque<time_point>> m_sent; // recent send times by target id
};

} // namespace gooseberrymoor
