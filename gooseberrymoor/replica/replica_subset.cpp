#include "gooseberrymoor/replica/replica_subset.h"

#include "gooseberrymoor/base/rendezvous.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <algorithm>
#include <vector>

namespace gooseberrymoor {

namespace {

constexpr unsigned default_node_connections = 16; // per target, if no limit is configured
// Half of the limit stays free: a target may still count the connections of a node that lost power
// when the restarted node opens new ones.
constexpr unsigned connection_reserve_factor = 2;

} // namespace

replica_subset::replica_subset(const replica_set &replicas, std::string ownName,
                               std::string ownZone)
    : m_replicas(replicas), m_ownName(std::move(ownName)), m_ownZone(std::move(ownZone))
{
}

void replica_subset::configure(const routing_configuration &configuration)
{
    m_limits.clear();
    m_lowestLimit = 0;
    for (const auto &[name, profile] : configuration.services) {
        const unsigned limit = profile.connectionLimit;
        if (limit == 0)
            continue;
        m_limits[name] = limit;
        m_lowestLimit = m_lowestLimit == 0 ? limit : std::min(m_lowestLimit, limit);
    }
    m_allocations.clear();
}

void replica_subset::setNodes(std::size_t nodes, bool includesThisNode)
{
    m_nodes = std::max<std::size_t>(1, nodes);
    m_sharesConnections = includesThisNode;
    m_allocations.clear();
}

connection_allocation replica_subset::allocationFor(const known_replica &target) const
{
    if (!m_sharesConnections)
        return { false, 1 };
    const service_allocation &allocation = currentAllocation(target.entry.service);
    if (allocation.holdsAll || allocation.held.contains(target.entry.id))
        return { true, allocation.connections };
    return { false, 1 };
}

// A service that is not configured yet is assumed to have the lowest configured limit.
unsigned replica_subset::limitOf(const std::string &service) const
{
    const auto found = m_limits.find(service);
    return found == m_limits.end() ? m_lowestLimit : found->second;
}

const replica_subset::service_allocation &
replica_subset::currentAllocation(const std::string &service) const
{
    service_allocation &allocation = m_allocations[service];
    if (allocation.connections == 0 || allocation.generation != m_replicas.generation())
        allocation = computeAllocation(service);
    return allocation;
}

replica_subset::service_allocation
replica_subset::computeAllocation(const std::string &service) const
{
    service_allocation allocation;
    allocation.generation = m_replicas.generation();
    const unsigned limit = limitOf(service);
    const std::size_t usable = limit / connection_reserve_factor;
    if (limit == 0) {
        allocation.connections = default_node_connections;
        return allocation;
    }
    if (usable >= m_nodes) {
        allocation.connections = static_cast<unsigned>(usable / m_nodes);
        return allocation;
    }
    allocation.connections = 1;
    allocation.holdsAll = false;
    std::vector<const known_replica *> ranked;
    for (const auto &each : m_replicas.of(service)) {
        if (m_replicas.isEligible(*each))
            ranked.push_back(each.get());
    }
    const auto isBefore = [this](const known_replica *left, const known_replica *right) {
        const bool leftIsInOwnZone = left->entry.availabilityZone == m_ownZone;
        const bool rightIsInOwnZone = right->entry.availabilityZone == m_ownZone;
        if (leftIsInOwnZone != rightIsInOwnZone)
            return leftIsInOwnZone;
        return rendezvousWeight(m_ownName, left->entry.id)
            > rendezvousWeight(m_ownName, right->entry.id);
    };
    std::sort(ranked.begin(), ranked.end(), isBefore);
    const std::size_t maxHeld = std::max<std::size_t>(1, usable * ranked.size() / m_nodes);
    for (std::size_t i = 0; i < std::min(maxHeld, ranked.size()); ++i)
        allocation.held.insert(ranked[i]->entry.id);
    return allocation;
}

} // namespace gooseberrymoor
