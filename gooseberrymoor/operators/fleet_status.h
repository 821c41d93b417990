#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/net.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct cell_view;

// The state that one node reported. Value type.
struct node_status
{
    std::string name;
    endpoint entryAddress;
    bool answered = false;
    std::string phase;
    std::int64_t revision = 0; // of the active configuration
    std::string rejectionReason; // why a newer configuration was rejected; empty if none was
};

// The states of all nodes of a cell. Value type.
struct fleet_status
{
    std::vector<node_status> nodes;

    // The number of nodes that answered.
    std::size_t answeredCount() const;

    // The number of nodes that answered and whose active revision is `revision` or newer.
    std::size_t activeCount(std::int64_t revision) const;

    // "in force at N of M nodes", and the number of nodes that did not answer, if any.
    std::string summary(std::int64_t revision) const;
};

// Queries every member of `view` for its state, one after another.
asio::awaitable<fleet_status> queryFleet(cell_view view);

// Polls the members of `view` until `revision` is active at every node that answers, or until
// `maxWaitMs` have passed. Returns the last result.
asio::awaitable<fleet_status> waitUntilActive(cell_view view, std::int64_t revision,
                                              std::int64_t maxWaitMs);

} // namespace gooseberrymoor
