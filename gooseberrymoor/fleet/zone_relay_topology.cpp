#include "gooseberrymoor/fleet/zone_relay_topology.h"

#include "gooseberrymoor/fleet/fleet_view.h"
#include "gooseberrymoor/fleet/peer_liveness.h"

#include <map>

namespace gooseberrymoor {

namespace {

// The zone of `node`; empty if it is not known.
std::string zoneIn(const std::map<std::string, std::string> &zones, const std::string &node)
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
zone_relay_topology::recipientsOfReader(const std::vector<std::string> &linked,
                                        time_point now) const
{
    const std::string &ownZone = m_fleet.own().availabilityZone;
    const std::map<std::string, std::string> zones = m_fleet.peerZones();
    std::vector<std::string> audience;
    std::map<std::string, std::string> delegates; // by zone
    std::map<std::string, std::string> others; // by zone; any node, if none is heard
    for (const std::string &each : linked) {
        const std::string zone = zoneIn(zones, each);
        if (zone == ownZone) {
            audience.push_back(each);
            continue;
        }
        others.try_emplace(zone, each);
        if (m_liveness.isAlive(each, now) && !m_liveness.isLeaving(each))
            delegates.try_emplace(zone, each);
    }
    delegates.merge(others);
    for (const auto &[zone, delegate] : delegates)
        audience.push_back(delegate);
    return audience;
}

std::vector<std::string>
zone_relay_topology::recipientsOfRelay(const std::vector<std::string> &linked,
                                       const std::string &reader) const
{
    const std::string &ownZone = m_fleet.own().availabilityZone;
    const std::map<std::string, std::string> zones = m_fleet.peerZones();
    std::vector<std::string> audience;
    if (zoneIn(zones, reader) == ownZone)
        return audience; // the reader has sent to them itself
    for (const std::string &each : linked) {
        if (zoneIn(zones, each) == ownZone)
            audience.push_back(each);
    }
    return audience;
}

} // namespace gooseberrymoor
