#include "gooseberrymoor/replica/replica_subset.h"

#include "gooseberrymoor/base/rendezvous.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <algorithm>
#include <vector>

namespace gooseberrymoor {

namespace {

constexpr unsigned connections_without_limit = 16;
// A target may still hold the connections of nodes that lost power, beside those of their next
// start.
constexpr unsigned kept_free = 2;

} // namespace

replica_subset::replica_subset(const replica_set &replicas, std::string ownName,
                               std::string ownZone)
    : m_replicas(replicas), m_ownName(std::move(ownName)), m_ownZone(std::move(ownZone))
{
}

void replica_subset::configure(const routing_configuration &configuration)
{
    m_limits.clear();
    m_tightestLimit = 0;
    for (const auto &[name, profile] : configuration.services) {
        const unsigned limit = profile.connectionLimit;
        if (limit == 0)
            continue;
        m_limits[name] = limit;
        m_tightestLimit = m_tightestLimit == 0 ? limit : std::min(m_tightestLimit, limit);
    }
    m_shares.clear();
}

void replica_subset::setNodes(std::size_t nodes)
{
    m_nodes = std::max<std::size_t>(1, nodes);
    m_shares.clear();
}

connection_allocation replica_subset::shareOf(const known_replica &target) const
{
    const service_share &share = drawnShare(target.entry.service);
    if (share.holdsAll || share.held.contains(target.entry.id))
        return { true, share.connections };
    return { false, 1 };
}

// A service that the configuration doesn't know yet is taken to be as tight as the tightest known.
unsigned replica_subset::limitOf(const std::string &service) const
{
    const auto found = m_limits.find(service);
    return found == m_limits.end() ? m_tightestLimit : found->second;
}

const replica_subset::service_share &replica_subset::drawnShare(const std::string &service) const
{
    service_share &share = m_shares[service];
    if (share.connections == 0 || share.generation != m_replicas.generation())
        share = draw(service);
    return share;
}

replica_subset::service_share replica_subset::draw(const std::string &service) const
{
    service_share share;
    share.generation = m_replicas.generation();
    const unsigned limit = limitOf(service);
    const std::size_t usable = limit / kept_free;
    if (limit == 0) {
        share.connections = connections_without_limit;
        return share;
    }
    if (usable >= m_nodes) {
        share.connections = static_cast<unsigned>(usable / m_nodes);
        return share;
    }
    share.connections = 1;
    share.holdsAll = false;
    std::vector<const known_replica *> ranked;
    for (const auto &each : m_replicas.of(service)) {
        if (m_replicas.isEligible(*each))
            ranked.push_back(each.get());
    }
    const auto isBefore = [this](const known_replica *left, const known_replica *right) {
        const bool leftIsNear = left->entry.availabilityZone == m_ownZone;
        const bool rightIsNear = right->entry.availabilityZone == m_ownZone;
        if (leftIsNear != rightIsNear)
            return leftIsNear;
        return rendezvousRank(m_ownName, left->entry.id)
            > rendezvousRank(m_ownName, right->entry.id);
    };
    std::sort(ranked.begin(), ranked.end(), isBefore);
    const std::size_t most = std::max<std::size_t>(1, usable * ranked.size() / m_nodes);
    for (std::size_t i = 0; i < std::min(most, ranked.size()); ++i)
        share.held.insert(ranked[i]->entry.id);
    return share;
}

} // namespace gooseberrymoor
