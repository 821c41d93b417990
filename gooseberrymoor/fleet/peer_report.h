#pragma once

#include <set>
#include <string>

namespace gooseberrymoor {

// What a node reports about itself and its watched nodes in a heartbeat. Value type.
struct peer_report
{
    bool leaving = false;
    bool storeLost = false; // its last call to the store failed
    bool watchesAll = false; // asks all nodes for their heartbeats
    std::set<std::string> silent; // watched nodes whose heartbeats have stopped

    bool operator==(const peer_report &) const = default;
};

} // namespace gooseberrymoor
