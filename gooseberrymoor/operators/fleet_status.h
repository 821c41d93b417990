#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/net.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct cell_view;

// What one node said of itself. Value type.
struct node_status
{
    std::string name;
    endpoint entryAddress;
    bool answered = false;
    std::string phase;
    std::int64_t revision = 0; // of the configuration in force
    std::string fault; // why a newer one was refused; empty if none was
};

// The nodes of a cell as they answered. Value type.
struct fleet_status
{
    std::vector<node_status> nodes;

    // Nodes that answered.
    std::size_t live() const;

    // Nodes that answered and have `revision` or a newer one in force.
    std::size_t inForce(std::int64_t revision) const;

    // "in force at N of M nodes", and how many did not answer.
    std::string text(std::int64_t revision) const;
};

// Asks every member of `view` for its state.
asio::awaitable<fleet_status> queryFleet(cell_view view);

// Asks again and again until `revision` is in force at every node that answers, or for `longest`.
asio::awaitable<fleet_status> waitUntilActive(cell_view view, std::int64_t revision,
                                              std::int64_t longestMs);

} // namespace gooseberrymoor
