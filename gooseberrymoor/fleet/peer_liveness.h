#pragma once

#include "gooseberrymoor/fleet/peer_report.h"
#include "gooseberrymoor/fleet/watch_ring.h"
#include "gooseberrymoor/mirror/reader_election.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Failure detector for the nodes of a fleet, based on heartbeats. (The members of a cell use
// `failure_detector`, which is based on their replies.) It also elects the node that reads the
// store for all: the first by name among the nodes that are alive, not leaving and able to reach
// the store.
//
// A node judges the nodes that it watches by their heartbeats, and the other nodes by the silence
// reports of their watchers. Two watchers must report a node as silent, since a single watcher may
// be cut off itself. If most watched nodes fall silent, a second watcher may not exist any more, so
// the node watches all other nodes and accepts a single report.
//
// Performs no I/O and reads no clock: the caller passes heartbeats and the time. Not thread-safe.
class peer_liveness : public reader_election
{
public:
    peer_liveness(std::string ownName, std::string ownZone);

    // Sets the other nodes of the fleet and their availability zones.
    void setNodes(const std::map<std::string, std::string> &zonesByName, time_point now);

    // Processes a heartbeat received from `peer`.
    void onHeartbeat(const std::string &peer, peer_report report, time_point now);

    // Updates the assignment of watchers and the set of silent nodes. Must be called several times
    // within the silence timeout. After a longer gap, such as a stall of this process, missing
    // heartbeats count only from now on.
    void onTime(time_point now);

    // Marks this node as leaving, so that another node becomes the reader.
    void setLeaving() { m_report.leaving = true; }

    // The report that this node sends in its heartbeats.
    const peer_report &report() const { return m_report; }

    // The nodes that receive every heartbeat of this one: its watchers, the nodes that watch all
    // others, and the nodes that report this one as silent.
    std::set<std::string> heartbeatRecipients() const;

    // Whether this node considers `peer` alive.
    bool isAlive(const std::string &peer, time_point now) const;

    // Whether this node watches the heartbeats of `peer`.
    bool isWatched(const std::string &peer) const { return m_watched.contains(peer); }

    // Whether a heartbeat of any peer arrived within the silence timeout.
    bool hearsAnyPeer(time_point now) const;

    // Whether `peer` has reported that it is leaving.
    bool isLeaving(const std::string &peer) const;

    bool isReader(time_point now) const override;
    bool isProber(time_point now) const override;
    void setStoreLost(bool lost) override { m_report.storeLost = lost; }
    bool isStoreLost() const override { return m_report.storeLost; }

private:
    struct peer_state
    {
        time_point lastHeartbeat {};
        peer_report report;
    };

    struct known_node
    {
        std::string availabilityZone;
        time_point addedAt {};
    };

    void updateSilenceReports(const std::string &peer, const std::set<std::string> &silent,
                              time_point now);
    bool hasRecentHeartbeat(const std::string &peer, time_point now) const;
    bool isSilent(const std::string &peer, time_point now) const;
    bool isReportedSilent(const std::string &peer, time_point now) const;
    void updateRing(time_point now);
    void updateWatched(time_point now);
    void updateSilent(time_point now);

    std::string m_ownName;
    std::string m_ownZone;
    peer_report m_report;
    std::map<std::string, known_node> m_otherNodes; // by name
    std::map<std::string, peer_state> m_heardPeers; // nodes that have sent a heartbeat, by name
    // The reporters of each silent node and the time of their last report; by the silent node.
    std::map<std::string, std::map<std::string, time_point>> m_silenceReports;
    std::vector<ring_node> m_ringNodes; // the nodes that `m_ring` was built from
    watch_ring m_ring { {} };
    std::map<std::string, time_point> m_watched; // the nodes that this node watches, and since when
    time_point m_lastUpdate {};
};

} // namespace gooseberrymoor
