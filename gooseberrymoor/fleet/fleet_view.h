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

// The live nodes of the fleet, including this one, according to the keys that they publish in the
// store. A lease can expire while its node is still alive, so a node whose key is gone stays in the
// view as long as its heartbeats arrive. Performs no network I/O and reads no clock. Not
// thread-safe.
class fleet_view : public mirror_listener
{
public:
    // `liveness` and `log` must outlive the view.
    fleet_view(fleet_member own, const peer_liveness &liveness, event_log &log);

    void onValue(const std::string &key, const std::string &value, std::int64_t revision) override;
    void onRemoved(const std::string &key) override;
    value_order orderOf(const std::string &value, const std::string &known) const override;

    // Marks this node as leaving: `callerAddresses` no longer contains it.
    void setLeaving() { m_own.leaving = true; }

    const fleet_member &own() const { return m_own; }

    // The names of all live nodes, including this one.
    std::vector<std::string> names() const;

    // Number of live nodes, including this one.
    std::size_t size() const { return m_others.size() + 1; }

    // Removes nodes whose key is gone and whose heartbeats have stopped.
    void onTime(time_point now);

    // The peer addresses of the other nodes, by name.
    std::map<std::string, endpoint> peerAddresses() const;

    // Up to `maxCount` addresses that callers may connect to: the fast nodes in `zones` if at least
    // two of them accept callers, otherwise all nodes there, or the fast nodes or all nodes in any
    // zone. Fast are nodes with at least half of the processor of the fleet's fastest one: a query
    // of many shards takes longer on a slow node than targets need to answer it. Contains only
    // nodes whose heartbeats arrive, unless this node receives no heartbeats at all.
    std::vector<endpoint> callerAddresses(const std::set<std::string> &zones, std::size_t maxCount,
                                          time_point now) const;

    // The names of the nodes that the callers of any availability zone are sent to. May include
    // this node.
    std::set<std::string> servingNodes(time_point now) const;

    // The availability zones of the other nodes, by name.
    std::map<std::string, std::string> peerZones() const;

    // Increases whenever a node is added, updated or removed.
    std::uint64_t generation() const { return m_generation; }

private:
    struct known_member
    {
        fleet_member member;
        bool isKeyRemoved = false;
    };

    std::uint32_t shuffleSeed() const;
    double fastProcessorCores() const;
    std::vector<const fleet_member *> acceptingNodes(time_point now) const;
    std::vector<const fleet_member *>
    callerNodes(const std::vector<const fleet_member *> &accepting,
                const std::set<std::string> &zones) const;
    bool acceptsCallers(const fleet_member &member, bool hearsAnyPeer, time_point now) const;

    fleet_member m_own;
    const peer_liveness &m_liveness;
    event_log &m_log;
    std::map<std::string, known_member> m_others; // by key
    std::uint64_t m_generation = 1;
};

} // namespace gooseberrymoor
