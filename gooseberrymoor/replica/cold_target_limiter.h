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

// What the platform tolerates at a cold target beyond its stated rate. Value type.
struct cold_rate_tolerance
{
    double factor = 1; // times the stated rate
    double slack = 0; // requests a second on top
};

// Keeps the requests of all nodes to a cold target within what it bears. One live node, drawn by
// rendezvous hash, may send to it, and only so much that two nodes which both believe to be drawn
// stay within the bound together; for every other node the target is absent until it is warm.
// Pure decision. Not thread-safe.
class cold_target_limiter
{
public:
    cold_target_limiter(std::string ownName, cold_rate_tolerance tolerance);

    // The names of the live nodes, this one included.
    void setNodes(std::vector<std::string> nodes) { m_nodes = std::move(nodes); }

    // The newest configuration: what cold targets of each service bear.
    void configure(const routing_configuration &configuration);

    // Whether this node may send `target` one request now.
    bool isEligible(const known_replica &target, time_point now) const;

    // A request was sent to `target`.
    void onSent(const known_replica &target, time_point now);

private:
    bool isDrawn(const std::string &id) const;

    std::string m_ownName;
    cold_rate_tolerance m_tolerance;
    std::vector<std::string> m_nodes;
    std::map<std::string, double> m_ratePerSecond; // by service; only where one is stated
    std::map<std::string, std::deque<time_point>> m_sent; // by target, within the last second
};

} // namespace gooseberrymoor
