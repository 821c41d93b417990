#pragma once

#include "gooseberrymoor/fleet/peer_report.h"
#include "gooseberrymoor/fleet/watch_ring.h"
#include "gooseberrymoor/mirror/reader_election.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Which nodes of the fleet live, and which one reads the store for all: the first by name of those
// that live, stay, and reach the store. A node judges those that it watches by their heartbeats,
// and the others by what their watchers report: one is silent when two of them say so, since a
// single one may be cut off itself. After a great loss there may be no second one: then each node
// watches all others, and one report is believed. Pure decision: heartbeats and the time in. Not
// thread-safe.
class peer_liveness : public reader_election
{
public:
    peer_liveness(std::string ownName, std::string ownZone);

    // The nodes of the fleet, without this one.
    void setNodes(const std::map<std::string, std::string> &zonesByName, time_point now);

    // A heartbeat of `peer` came in.
    void onHeartbeat(const std::string &peer, peer_report report, time_point now);

    // Brings up to date who watches whom and which nodes are silent; to be called several times
    // within `longestSilence`. After a gap, as of a process that stood still, nothing is concluded
    // from what was not heard meanwhile.
    void onTime(time_point now);

    // This node stops: it leaves the reading to others.
    void setLeaving() { m_report.leaving = true; }

    // What this node tells of itself.
    const peer_report &report() const { return m_report; }

    // The nodes that are to get each heartbeat of this one: its watchers, those that watch all, and
    // those that report it as silent.
    std::set<std::string> watchers() const;

    // Whether `peer` lives, as far as this node knows.
    bool isAlive(const std::string &peer, time_point now) const;

    // Whether this node judges `peer` by its heartbeats.
    bool isWatched(const std::string &peer) const { return m_watched.contains(peer); }

    // Whether any peer was heard lately.
    bool hearsAnyPeer(time_point now) const;

    // Whether `peer` said that it leaves.
    bool isLeaving(const std::string &peer) const;

    bool isReader(time_point now) const override;
    bool isProber(time_point now) const override;
    void setStoreLost(bool lost) override { m_report.storeLost = lost; }
    bool isStoreLost() const override { return m_report.storeLost; }

private:
    struct peer_state
    {
        time_point heard {};
        peer_report report;
    };

    // A node as this one learned of it.
    struct known_node
    {
        std::string availabilityZone;
        time_point since {};
    };

    void takeReports(const std::string &peer, const std::set<std::string> &silent, time_point now);
    bool isHeardDirectly(const std::string &peer, time_point now) const;
    bool isSilent(const std::string &peer, time_point now) const;
    bool isReportedSilent(const std::string &peer, time_point now) const;
    void redraw(time_point now);
    void updateWatched(time_point now);
    void updateSilent(time_point now);

    std::string m_ownName;
    std::string m_ownZone;
    peer_report m_report;
    std::map<std::string, known_node> m_nodes; // without this one, by name
    std::map<std::string, peer_state> m_peers; // by name; those that were heard
    // Who reports a node as silent, and when it did last; by the silent node.
    std::map<std::string, std::map<std::string, time_point>> m_reports;
    std::vector<watched_node> m_drawnFrom; // what the ring was drawn from
    watch_ring m_ring { {} };
    std::map<std::string, time_point> m_watched; // by this node, and since when
    time_point m_lastTime {};
};

} // namespace gooseberrymoor
