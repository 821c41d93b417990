#include "gooseberrymoor/fleet/zone_relay_topology.h"

#include "gooseberrymoor/fleet/fleet_view.h"
#include "gooseberrymoor/fleet/peer_liveness.h"

#include <map>

namespace gooseberrymoor {

namespace {

// Returns the zone of `node`, or an empty string if it is unknown.
std::string findZone(const std::map<std::string, std::string> &zones, const std::string &node)
{
    const auto found = zones.find(node);
    return found == zones.end() ? std::string() : found->second;
}

} // namespace

zone_relay_topology::zone_relay_topology(const fleet_view &fleet, const peer_liveness &liveness)
    : m_fleet(fleet), m_liveness(liveness)
{
}

std::vector<std::string>
zone_relay_topology::recipientsOfReader(const std::vector<std::string> &connected,
                                        time_point now) const
{
    const std::string &ownZone = m_fleet.own().availabilityZone;
    const std::map<std::string, std::string> zones = m_fleet.peerZones();
    std::vector<std::string> recipients;
    std::map<std::string, std::string> delegates; // by zone
    // By zone; used if every connected node of the zone is silent or leaving.
    std::map<std::string, std::string> fallbacks;
    for (const std::string &each : connected) {
        const std::string zone = findZone(zones, each);
        if (zone == ownZone) {
            recipients.push_back(each);
            continue;
        }
        fallbacks.try_emplace(zone, each);
        if (m_liveness.isAlive(each, now) && !m_liveness.isLeaving(each))
            delegates.try_emplace(zone, each);
    }
    delegates.merge(fallbacks);
    for (const auto &[zone, delegate] : delegates)
        recipients.push_back(delegate);
    return recipients;
}

std::vector<std::string>
zone_relay_topology::recipientsOfRelay(const std::vector<std::string> &connected,
                                       const std::string &reader) const
{
    const std::string &ownZone = m_fleet.own().availabilityZone;
    const std::map<std::string, std::string> zones = m_fleet.peerZones();
    std::vector<std::string> recipients;
    if (findZone(zones, reader) == ownZone)
        return recipients; // the reader sends to its own zone directly
    for (const std::string &each : connected) {
        if (findZone(zones, each) == ownZone)
            recipients.push_back(each);
    }
    return recipients;
}

} // namespace gooseberrymoor
