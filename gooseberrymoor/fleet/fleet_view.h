#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/fleet/fleet_member.h"
#include "gooseberrymoor/mirror/mirror_listener.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class event_log;
class peer_liveness;

// The live nodes of the fleet, read from the keys that they keep in the store by their leases.
// A key may lapse while its node lives, so a node whose heartbeats arrive stays. This node is
// always one of them. Pure state. Not thread-safe.
class fleet_view : public mirror_listener
{
public:
    // `liveness` and `log` must outlive the view.
    fleet_view(fleet_member own, const peer_liveness &liveness, event_log &log);

    void onValue(const std::string &key, const std::string &value, std::int64_t revision) override;
    void onRemoved(const std::string &key) override;

    // This node leaves: it is named to callers no more.
    void setLeaving() { m_own.leaving = true; }

    const fleet_member &own() const { return m_own; }

    // All live nodes by name, this one included.
    std::vector<std::string> names() const;

    // Live nodes, this one included; at least one.
    std::size_t size() const { return m_others.size() + 1; }

    // Forgets nodes whose key is gone and that are heard no more.
    void onTime(time_point now);

    // The nodes other than this one, by name.
    std::map<std::string, endpoint> peerAddresses() const;

    // Where callers may connect, at most `most` of them: nodes of `zones` if several take callers
    // there, else any that do. Nodes that are not heard are left out, unless none is.
    std::vector<endpoint> callerAddresses(const std::set<std::string> &zones, std::size_t most,
                                          time_point now) const;

    // The availability zones of the nodes other than this one, by name.
    std::map<std::string, std::string> peerZones() const;

    // Counts changes of what the view holds.
    std::uint64_t generation() const { return m_generation; }

private:
    struct known_member
    {
        fleet_member member;
        bool lapsed = false; // its key is gone
    };

    std::uint32_t ownSeed() const;
    bool takesCallers(const fleet_member &member, bool hearsAnyPeer, time_point now) const;

    fleet_member m_own;
    const peer_liveness &m_liveness;
    event_log &m_log;
    std::map<std::string, known_member> m_others; // by key
    std::uint64_t m_generation = 1;
};

} // namespace gooseberrymoor
