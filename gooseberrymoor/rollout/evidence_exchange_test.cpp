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

// Runs `context` until `done` or for two seconds at most.
template <typename Condition> bool runUntil(asio::io_context &context, Condition done)
{
    const time_point limit = millis_clock::now() + duration(2000);
    while (!done() && millis_clock::now() < limit)
        context.run_one_for(duration(20));
    return done();
}

cell_view viewOfTwo()
{
    cell_view view;
    view.epoch = 1;
    for (const char *name : { "n1", "n2" })
        view.put({ name, 1, "kl-a", {}, {}, false });
    return view;
}

comparison_request wanted()
{
    comparison_request request;
    request.service = "standings";
    request.oldVersion = "v1";
    request.newVersion = "v2";
    return request;
}

// A node that sends evidence to a driver over one link.
struct two_nodes
{
    two_nodes()
    {
        view = viewOfTwo();
        const std::string driverName = driverOf(view, "standings");
        const std::string otherName = driverName == "n1" ? "n2" : "n1";
        const auto source = [this]() -> const cell_view & { return view; };
        const auto clock = [this] { return now; };
        const auto executor = context.get_executor();
        driverLinks = std::make_unique<peer_network>(executor, driverName, "main", events);
        otherLinks = std::make_unique<peer_network>(executor, otherName, "main", events);
        driver = std::make_unique<evidence_exchange>(executor, driverName, *driverLinks, source,
                                                     clock, events);
        other = std::make_unique<evidence_exchange>(executor, otherName, *otherLinks, source, clock,
                                                    events);
        driverLinks->setHandler(message_kind::version_evidence, *driver);
        REQUIRE(driverLinks->start(driver_address));
        otherLinks->setPeers({ { driverName, driver_address } });
        REQUIRE(runUntil(context, [&] { return otherLinks->channelTo(driverName) != nullptr; }));
        channel = otherLinks->channelTo(driverName);
    }

    ~two_nodes()
    {
        driver->stop();
        other->stop();
        otherLinks->stop();
        driverLinks->stop();
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
    std::unique_ptr<peer_network> driverLinks;
    std::unique_ptr<peer_network> otherLinks;
    std::unique_ptr<evidence_exchange> driver;
    std::unique_ptr<evidence_exchange> other;
    std::shared_ptr<peer_channel> channel;
};

} // namespace

TEST_CASE("A node tells the driver what it saw")
{
    two_nodes nodes;
    SUBCASE("of closed windows in which two versions were asked")
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
        CHECK(nodes.driver->evidence().compare(wanted(), nodes.now).requests == 1);
    }
    SUBCASE("but not where there is nothing to compare")
    {
        nodes.observe("v1");
        nodes.now += evidence_window_length;
        startTask(nodes.context.get_executor(), nodes.events, "evidence", nodes.other->run());
        nodes.context.run_for(duration(50));
        CHECK(nodes.events.value("evidence_windows_sent") == 0);
    }
    SUBCASE("and a message that is no window closes the link")
    {
        const std::vector<std::uint8_t> noise { 1, 2, 3, 4, 5, 6, 7, 8, 9 };
        nodes.channel->send(message_kind::version_evidence, noise);
        CHECK(runUntil(nodes.context, [&] { return !nodes.channel->isOpen(); }));
        CHECK(nodes.events.value("evidence_windows_received") == 0);
    }
}

TEST_CASE("A window is a message")
{
    SUBCASE("that comes back as it was")
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
    SUBCASE("that is refused if a byte of it was changed into nonsense, or read as another window")
    {
        evidence_window window;
        window.rows[{ "standings", "/laps", "v1", "a" }].add(error_kind::none, duration(20));
        const auto bytes = encodeEvidence(window);
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            auto broken = bytes;
            broken[i] ^= 0xff;
            const auto read = decodeEvidence(broken);
            CHECK((!read || read->rows.size() <= 1));
        }
    }
    SUBCASE("that cannot be read from arbitrary bytes, and never does harm")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t> &bytes) {
            const auto window = decodeEvidence(bytes);
            RC_ASSERT(!window || window->rows.size() <= max_evidence_rows);
        }));
    }
}
