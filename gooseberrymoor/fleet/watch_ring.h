#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

// A node as input for the ring. Value type.
struct ring_node
{
    std::string name;
    std::string availabilityZone;
    bool isLive = true; // only live nodes watch others

    bool operator==(const ring_node &) const = default;
};

// Assigns to each node the nodes that watch its heartbeats. In a small fleet every node watches all
// others. In a larger fleet a node has a few watchers, most of them in its own availability zone:
// the nodes that follow it in a ring of hashed names. This keeps the heartbeat traffic of a node
// independent of the size of the fleet. Value type.
class watch_ring
{
public:
    // Up to this number of nodes, every node watches all others.
    static constexpr std::size_t max_full_mesh_nodes = 16;

    explicit watch_ring(const std::vector<ring_node> &nodes);

    // The nodes that watch `name`.
    const std::set<std::string> &watchersOf(const std::string &name) const;

    // The nodes that are watched by `name`.
    const std::set<std::string> &watchedBy(const std::string &name) const;

private:
    std::map<std::string, std::set<std::string>> m_watchers;
    std::map<std::string, std::set<std::string>> m_watched;
};

} // namespace gooseberrymoor
