#include "gooseberrymoor/fleet/watch_ring.h"

#include "gooseberrymoor/base/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace gooseberrymoor {

namespace {

constexpr std::size_t max_same_zone_watchers = 4; // unless the fleet is small
constexpr std::size_t max_watchers = 6; // unless the fleet is small
constexpr const char *ring_seed = "ring";

const std::set<std::string> &findOrEmpty(const std::map<std::string, std::set<std::string>> &sets,
                                         const std::string &name)
{
    static const std::set<std::string> none;
    const auto found = sets.find(name);
    return found == sets.end() ? none : found->second;
}

std::vector<ring_node> sortByRingHash(const std::vector<ring_node> &nodes)
{
    std::vector<ring_node> ring = nodes;
    std::sort(ring.begin(), ring.end(), [](const ring_node &left, const ring_node &right) {
        const auto leftRank = rendezvousWeight(ring_seed, left.name);
        const auto rightRank = rendezvousWeight(ring_seed, right.name);
        return std::tie(leftRank, left.name) < std::tie(rightRank, right.name);
    });
    return ring;
}

// Returns the live nodes that follow position `at` in the ring: first those of its own zone, then
// those of other zones.
std::set<std::string> selectWatchers(const std::vector<ring_node> &ring, std::size_t at)
{
    const bool watchesAll = ring.size() <= watch_ring::max_full_mesh_nodes;
    const std::size_t maxWatchers = watchesAll ? ring.size() : max_watchers;
    const std::size_t maxSameZoneWatchers = watchesAll ? ring.size() : max_same_zone_watchers;
    std::set<std::string> chosen;
    std::vector<std::string> otherZoneNodes;
    for (std::size_t step = 1; step < ring.size() && chosen.size() < maxSameZoneWatchers; ++step) {
        const ring_node &each = ring[(at + step) % ring.size()];
        if (!each.isLive)
            continue;
        if (each.availabilityZone == ring[at].availabilityZone)
            chosen.insert(each.name);
        else
            otherZoneNodes.push_back(each.name);
    }
    for (std::size_t i = 0; i < otherZoneNodes.size() && chosen.size() < maxWatchers; ++i)
        chosen.insert(otherZoneNodes[i]);
    return chosen;
}

} // namespace

watch_ring::watch_ring(const std::vector<ring_node> &nodes)
{
    const std::vector<ring_node> ring = sortByRingHash(nodes);
    for (std::size_t at = 0; at < ring.size(); ++at) {
        auto &watchers = m_watchers[ring[at].name];
        watchers = selectWatchers(ring, at);
        for (const std::string &each : watchers)
            m_watched[each].insert(ring[at].name);
    }
}

const std::set<std::string> &watch_ring::watchersOf(const std::string &name) const
{
    return findOrEmpty(m_watchers, name);
}

const std::set<std::string> &watch_ring::watchedBy(const std::string &name) const
{
    return findOrEmpty(m_watched, name);
}

} // namespace gooseberrymoor
