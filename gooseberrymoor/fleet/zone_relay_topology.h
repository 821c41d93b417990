#pragma once

#include "gooseberrymoor/mirror/relay_topology.h"

namespace gooseberrymoor {

class fleet_view;
class peer_liveness;

// Sends one copy of each update to every other availability zone: the reader sends to the nodes of
// its own zone and to one node of each other zone, which passes it on in its zone. Load answered:
// configurations of many routes in a large fleet. Pure decision. Not thread-safe.
class zone_relay_topology : public relay_topology
{
public:
    // Both must outlive it.
    zone_relay_topology(const fleet_view &fleet, const peer_liveness &liveness);

    std::vector<std::string> recipientsOfReader(const std::vector<std::string> &linked,
                                                time_point now) const override;
    std::vector<std::string> recipientsOfRelay(const std::vector<std::string> &linked,
                                               const std::string &reader) const override;

private:
    const fleet_view &m_fleet;
    const peer_liveness &m_liveness;
};

} // namespace gooseberrymoor
