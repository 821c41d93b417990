#pragma once

#include "gooseberrymoor/mirror/reader_duty.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Which peers this node hears, by their heartbeats, and which node reads the store for all: the
// first by name of those that are heard, stay, and reach the store. Pure decision: heartbeats and
// the time in. Not thread-safe.
class peer_liveness : public reader_duty
{
public:
    explicit peer_liveness(std::string ownName);

    // A heartbeat of `peer` came in.
    void onHeartbeat(const std::string &peer, bool leaving, bool storeLost, time_point now);

    // This node stops: it leaves the reading to others.
    void setLeaving() { m_leaving = true; }

    // Whether `peer` was heard lately.
    bool isHeard(const std::string &peer, time_point now) const;

    // Whether any peer was.
    bool hearsAnyone(time_point now) const;

    // Whether the last heartbeat of `peer` said that it leaves.
    bool isLeaving(const std::string &peer) const;

    bool isReader(time_point now) const override;
    void setStoreLost(bool lost) override { m_storeLost = lost; }
    bool isStoreLost() const { return m_storeLost; }

private:
    struct peer_state
    {
        time_point heard {};
        bool leaving = false;
        bool storeLost = false;
    };

    std::string m_ownName;
    bool m_leaving = false;
    bool m_storeLost = false;
    std::map<std::string, peer_state> m_peers;
};

} // namespace gooseberrymoor
