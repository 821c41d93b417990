#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace gooseberrymoor {

class replica_set;
struct known_replica;
struct routing_configuration;

// Connections that this node may open to one target. Value type.
struct connection_allocation
{
    bool isHeld = true; // whether a persistent connection is kept open
    unsigned connections = 1; // maximum number
};

// Deterministic subsetting: decides which targets this node keeps persistent connections to, and
// how many connections it may open to each target.
//
// A target limits the number of connections from all nodes together. If the limit allows less than
// one connection per node, each node holds connections to a subset of a service's targets and uses
// the others only if those do not respond. The subset prefers targets in the node's own
// availability zone, then ranks by rendezvous hash. Hence a change of the targets moves few
// connections, and a change of the number of nodes moves none as long as the subset size stays the
// same.
//
// Pure decision logic without I/O. Not thread-safe.
class replica_subset
{
public:
    // `replicas` must outlive the subset.
    replica_subset(const replica_set &replicas, std::string ownName, std::string ownZone);

    // Reads the connection limit of each service from `configuration`.
    void configure(const routing_configuration &configuration);

    // Sets the number of nodes that share each target's connections; zero counts as one. A node
    // that is not one of them, because callers are sent elsewhere, keeps no connections and opens
    // one when it needs it.
    void setNodes(std::size_t nodes, bool includesThisNode = true);

    // This node's allocation for `target`.
    connection_allocation allocationFor(const known_replica &target) const;

    // Whether this node keeps a persistent connection to `target`.
    bool holds(const known_replica &target) const { return allocationFor(target).isHeld; }

    // Maximum number of connections from this node to `target`; at least one.
    unsigned connectionLimit(const known_replica &target) const
    {
        return allocationFor(target).connections;
    }

private:
    // This node's allocation for all targets of one service.
    struct service_allocation
    {
        std::uint64_t generation = 0; // of the replica set that it was computed from
        unsigned connections = 0; // per held target; 0 if not computed yet
        bool holdsAll = true;
        std::set<std::string> held; // ids of held targets, unless `holdsAll`
    };

    const service_allocation &currentAllocation(const std::string &service) const;
    service_allocation computeAllocation(const std::string &service) const;
    unsigned limitOf(const std::string &service) const;

    const replica_set &m_replicas;
    std::string m_ownName;
    std::string m_ownZone;
    std::size_t m_nodes = 1;
    bool m_sharesConnections = true; // this node is one of them
    std::map<std::string, unsigned> m_limits; // by service; per target, over all nodes
    unsigned m_lowestLimit = 0; // 0 if no limit is configured
    // By service; recomputed when the replica set changes.
    mutable std::map<std::string, service_allocation> m_allocations;
};

} // namespace gooseberrymoor
