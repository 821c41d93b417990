#include "gooseberrymoor/fleet/heartbeat_exchange.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/fleet/peer_liveness.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "testing/silent_log.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <memory>

using namespace gooseberrymoor;

namespace {

const endpoint first_address { "127.0.0.1", 17111 };
const endpoint second_address { "127.0.0.1", 17112 };
constexpr duration max_run_time { 10'000 };

// One of two connected nodes, neither of which watches the other, as is the case for most pairs of
// nodes in a large fleet.
struct test_node
{
    test_node(asio::io_context &context, const std::string &name, const endpoint &own)
        : network(context.get_executor(), name, "fleet", events), liveness(name, "zone"),
          exchange(context.get_executor(), network, liveness, log, events)
    {
        REQUIRE(network.start(own));
        startTask(context.get_executor(), events, "heartbeats", exchange.run());
    }

    silent_log log;
    counters events;
    peer_network network;
    peer_liveness liveness;
    heartbeat_exchange exchange;
};

} // namespace

TEST_CASE("A node sends heartbeats")
{
    asio::io_context context(1);
    test_node first(context, "n1", first_address);
    auto second = std::make_unique<test_node>(context, "n2", second_address);
    const auto runUntil = [&](const auto &condition) {
        const time_point limit = millis_clock::now() + max_run_time;
        while (!condition() && millis_clock::now() < limit)
            context.run_one_for(duration(20));
        return condition();
    };
    second->network.setPeers({ { "n1", first_address } });

    SUBCASE("to each newly connected peer, even if the peer does not watch it")
    {
        CHECK(runUntil([&] { return first.liveness.hearsAnyPeer(millis_clock::now()); }));
        SUBCASE("and immediately when it starts to leave")
        {
            second->liveness.setLeaving();
            second->exchange.announce();
            CHECK(runUntil([&] { return first.liveness.isLeaving("n2"); }));
            SUBCASE("so that its next process is not mistaken for the one that left")
            {
                second->exchange.stop();
                second->network.stop();
                context.run_for(duration(100));
                test_node next(context, "n2", { "127.0.0.1", 17113 });
                next.network.setPeers({ { "n1", first_address } });
                CHECK(runUntil([&] { return !first.liveness.isLeaving("n2"); }));
                next.exchange.stop();
                next.network.stop();
                context.run_for(duration(100));
            }
        }
    }
    second->exchange.stop();
    first.exchange.stop();
    second->network.stop();
    first.network.stop();
    context.run_for(duration(200));
}
