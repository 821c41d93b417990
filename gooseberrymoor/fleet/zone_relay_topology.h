#pragma once

#include "gooseberrymoor/mirror/relay_topology.h"

namespace gooseberrymoor {

class fleet_view;
class peer_liveness;

// Sends one copy of each update to every other availability zone: the reader sends to the nodes of
// its own zone and to one node of each other zone, which relays the update within its zone. This
// bounds the cross-zone traffic of configurations with many routes in a large fleet. Performs no
// I/O. Not thread-safe.
class zone_relay_topology : public relay_topology
{
public:
    // `fleet` and `liveness` must outlive the topology.
    zone_relay_topology(const fleet_view &fleet, const peer_liveness &liveness);

    std::vector<std::string> recipientsOfReader(const std::vector<std::string> &connected,
                                                time_point now) const override;
    std::vector<std::string> recipientsOfRelay(const std::vector<std::string> &connected,
                                               const std::string &reader) const override;

private:
    const fleet_view &m_fleet;
    const peer_liveness &m_liveness;
};

} // namespace gooseberrymoor
