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

// What a node may have of one target's connections. Value type.
struct connection_allocation
{
    bool isHeld = true; // a connection is kept open
    unsigned connections = 1; // at most
};

// Which targets this node keeps connections to, and how many to each. A target accepts a limited
// number of connections from all nodes together; where that is less than one for each node, a node
// holds a part of a service's targets only, and goes to the others when those don't answer.
// Load answered: more nodes than connections. Targets of the node's own availability zone come
// first, the rest by rendezvous hash, so that a change of the targets moves few connections, and a
// change of the nodes moves none while the number held stays the same.
// Pure decision. Not thread-safe.
class replica_subset
{
public:
    // `replicas` must outlive the subset.
    replica_subset(const replica_set &replicas, std::string ownName, std::string ownZone);

    // The newest configuration: the limits of the services.
    void configure(const routing_configuration &configuration);

    // How many live nodes share each target's connections; at least one.
    void setNodes(std::size_t nodes);

    // This node's share of the connections of `target`.
    connection_allocation shareOf(const known_replica &target) const;

    // Whether this node keeps a connection to `target` open.
    bool holds(const known_replica &target) const { return shareOf(target).isHeld; }

    // Connections that this node may have to `target`; at least one.
    unsigned connectionLimit(const known_replica &target) const
    {
        return shareOf(target).connections;
    }

private:
    // What this node may have to the targets of one service.
    struct service_share
    {
        std::uint64_t generation = 0; // of the targets that it was drawn from
        unsigned connections = 0; // to each target that is held
        bool holdsAll = true;
        std::set<std::string> held; // ids, unless all are
    };

    const service_share &drawnShare(const std::string &service) const;
    service_share draw(const std::string &service) const;
    unsigned limitOf(const std::string &service) const;

    const replica_set &m_replicas;
    std::string m_ownName;
    std::string m_ownZone;
    std::size_t m_nodes = 1;
    std::map<std::string, unsigned> m_limits; // of one target, over all nodes, by service
    unsigned m_tightestLimit = 0; // 0: none stated
    mutable std::map<std::string, service_share> m_shares; // drawn anew when targets change
};

} // namespace gooseberrymoor
