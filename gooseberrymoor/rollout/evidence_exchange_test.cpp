#include "gooseberrymoor/rollout/evidence_exchange.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/rollout/evidence_codec.h"
#include "gooseberrymoor/rollout/leaf_observation.h"
#include "gooseberrymoor/rollout/move_driver_choice.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace gooseberrymoor;

namespace {

const wall_time start { std::chrono::hours(400'000) };
const endpoint driver_address { "127.0.0.1", 24101 };

// Runs `context` until `done` returns true, for at most two seconds.
template <typename Condition> bool runUntil(asio::io_context &context, Condition done)
{
    const time_point limit = millis_clock::now() + duration(2000);
    while (!done() && millis_clock::now() < limit)
        context.run_one_for(duration(20));
    return done();
}

cell_view viewWithTwoMembers()
{
    cell_view view;
    view.epoch = 1;
    for (const char *name : { "n1", "n2" })
        view.put({ name, 1, "kl-a", {}, {}, false });
    return view;
}

comparison_request comparisonRequest()
{
    comparison_request request;
    request.service = "standings";
    request.oldVersion = "v1";
    request.newVersion = "v2";
    return request;
}

// A node that is connected to the driver of a service and sends evidence to it.
struct connected_nodes
{
    connected_nodes()
    {
        view = viewWithTwoMembers();
        const std::string driverName = driverOf(view, "standings");
        const std::string otherName = driverName == "n1" ? "n2" : "n1";
        const auto source = [this]() -> const cell_view & { return view; };
        const auto clock = [this] { return now; };
        const auto executor = context.get_executor();
        driverNetwork = std::make_unique<peer_network>(executor, driverName, "main", events);
        otherNetwork = std::make_unique<peer_network>(executor, otherName, "main", events);
        driver = std::make_unique<evidence_exchange>(executor, driverName, *driverNetwork, source,
                                                     clock, events);
        other = std::make_unique<evidence_exchange>(executor, otherName, *otherNetwork, source,
                                                    clock, events);
        driverNetwork->setHandler(message_kind::version_evidence, *driver);
        REQUIRE(driverNetwork->start(driver_address));
        otherNetwork->setPeers({ { driverName, driver_address } });
        REQUIRE(runUntil(context, [&] { return otherNetwork->channelTo(driverName) != nullptr; }));
        channel = otherNetwork->channelTo(driverName);
    }

    ~connected_nodes()
    {
        driver->stop();
        other->stop();
        otherNetwork->stop();
        driverNetwork->stop();
        context.run_for(duration(100));
    }

    void observe(const char *version)
    {
        other->onLeafEnded({ "standings", version, "/laps", error_kind::none, duration(20) });
    }

    asio::io_context context { 1 };
    counters events;
    cell_view view;
    wall_time now = start;
    std::unique_ptr<peer_network> driverNetwork;
    std::unique_ptr<peer_network> otherNetwork;
    std::unique_ptr<evidence_exchange> driver;
    std::unique_ptr<evidence_exchange> other;
    std::shared_ptr<peer_channel> channel;
};

} // namespace

TEST_CASE("A node sends evidence to the driver")
{
    connected_nodes nodes;
    SUBCASE("from closed windows with requests of two versions")
    {
        nodes.observe("v1");
        nodes.observe("v2");
        nodes.now += evidence_window_length;
        nodes.observe("v1");
        nodes.observe("v2");
        startTask(nodes.context.get_executor(), nodes.events, "evidence", nodes.other->run());
        CHECK(runUntil(nodes.context,
                       [&] { return nodes.events.value("evidence_windows_received") == 1; }));
        CHECK(nodes.events.value("evidence_windows_sent") == 1);
        nodes.now += evidence_window_length;
        CHECK(nodes.driver->evidence().compare(comparisonRequest(), nodes.now).requests == 1);
    }
    SUBCASE("but not from windows with only one version")
    {
        nodes.observe("v1");
        nodes.now += evidence_window_length;
        startTask(nodes.context.get_executor(), nodes.events, "evidence", nodes.other->run());
        nodes.context.run_for(duration(50));
        CHECK(nodes.events.value("evidence_windows_sent") == 0);
    }
    SUBCASE("and a malformed message closes the connection")
    {
        const std::vector<std::uint8_t> malformedMessage { 1, 2, 3, 4, 5, 6, 7, 8, 9 };
        nodes.channel->send(message_kind::version_evidence, malformedMessage);
        CHECK(runUntil(nodes.context, [&] { return !nodes.channel->isOpen(); }));
        CHECK(nodes.events.value("evidence_windows_received") == 0);
    }
}

TEST_CASE("A window is serialized")
{
    SUBCASE("and parsed without a change")
    {
        CHECK(rc::check([] {
            evidence_window window;
            window.index = *rc::gen::arbitrary<std::int64_t>();
            const int rows = *rc::gen::inRange(0, 20);
            for (int i = 0; i < rows; ++i) {
                version_counts &counts
                    = window
                          .rows[{ "s" + std::to_string(i % 3), "r" + std::to_string(i), "v", "t" }];
                counts.answers = *rc::gen::arbitrary<std::uint32_t>();
                counts.lost = *rc::gen::arbitrary<std::uint32_t>();
                counts.timedOut = *rc::gen::arbitrary<std::uint32_t>();
                for (auto &bucket : counts.latency)
                    bucket = static_cast<std::uint32_t>(*rc::gen::inRange(0, 3));
            }
            RC_ASSERT(decodeEvidence(encodeEvidence(window)) == window);
        }));
    }
    SUBCASE("and with any byte inverted it is rejected or parsed as another window")
    {
        evidence_window window;
        window.rows[{ "standings", "/laps", "v1", "a" }].add(error_kind::none, duration(20));
        const auto bytes = encodeEvidence(window);
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            auto broken = bytes;
            broken[i] ^= 0xff;
            const auto decoded = decodeEvidence(broken);
            CHECK((!decoded || decoded->rows.size() <= 1));
        }
    }
    SUBCASE("and arbitrary bytes are rejected or parsed as a window within the limits")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t> &bytes) {
            const auto window = decodeEvidence(bytes);
            RC_ASSERT(!window || window->rows.size() <= max_evidence_rows);
        }));
    }
}
