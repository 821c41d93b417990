#pragma once

#include "small_node.h"
#include "small_site.h"

#include <doctest/doctest.h>

#include <string>

namespace gooseberrymoor {

// A site whose nodes 0 to `nodes` - 1 are ready and connected to each other.
struct serving_site : small_site
{
    // Time until nodes that know each other have exchanged heartbeats.
    static constexpr duration link_setup_time { 700 };

    explicit serving_site(int nodes, int zones = 2) : small_site(zones)
    {
        configure(1);
        for (int i = 0; i < nodes; ++i)
            startNode(i);
        REQUIRE(runUntil([&] {
            for (int i = 0; i < nodes; ++i) {
                if (!isReady(i))
                    return false;
            }
            return true;
        }));
        REQUIRE(runUntil([&] {
            for (int i = 0; i < nodes; ++i) {
                if (node(i).tier().fleet().size() != std::size_t(nodes))
                    return false;
            }
            return true;
        }));
        runFor(link_setup_time);
    }

    bool isReady(int index)
    {
        fleet_node &tier = node(index).tier();
        return tier.isReady() && tier.replicas().all().size() == leafs().size();
    }

    bool hasRoute(int index, const std::string &path)
    {
        const auto routes = node(index).tier().routes();
        return routes && routes->find("a.example", path);
    }

    int runsOf(const std::string &attemptId)
    {
        int runs = 0;
        for (const auto &each : leafs())
            runs += each->runsOf(attemptId);
        return runs;
    }

    void setFaultMode(const std::string &service, leaf_fault_mode mode)
    {
        for (const auto &each : leafs()) {
            if (each->service() == service)
                each->setFaultMode(mode);
        }
    }
};

} // namespace gooseberrymoor
