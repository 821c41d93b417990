#include "gooseberrymoor/configuration/configuration_relay.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/configuration/change_record.h"
#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_holder.h"
#include "gooseberrymoor/configuration/configuration_message.h"
#include "gooseberrymoor/configuration/configuration_sync_policy.h"
#include "gooseberrymoor/configuration/configuration_updater.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/peer_network.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace gooseberrymoor;

namespace {

const endpoint first_address { "127.0.0.1", 23011 };
const endpoint second_address { "127.0.0.1", 23012 };
const configuration_keys keys("main");
constexpr duration longest_run { 10'000 };
constexpr duration announce_interval { 50 };

store_read documentAt(std::int64_t revision, const std::string &zones = "[\"kl-a\"]")
{
    store_read read;
    read.revision = revision;
    read.entries.push_back({ keys.head(), encodeChangeRecord({ "1", "kim", "zone" }), revision });
    read.entries.push_back({ keys.zonesOut(), zones, revision });
    return read;
}

sync_timing quickTiming()
{
    sync_timing timing;
    timing.announce = announce_interval;
    return timing;
}

// One node's share of the spread, without its store.
struct linked_node
{
    linked_node(asio::io_context &context, const std::string &name)
        : spread(name, quickTiming(), 1, millis_clock::now()),
          updater(keys, holder, spread, events),
          network(context.get_executor(), name, "main", events),
          relay(context.get_executor(), updater, spread, network, announce_interval, events)
    {
        network.setHandler(message_kind::configuration_update, relay);
        updater.addListener(relay);
        startTask(context.get_executor(), events, "relay", relay.run());
    }

    void stop()
    {
        relay.stop();
        network.stop();
    }

    counters events;
    configuration_holder holder;
    configuration_sync_policy spread;
    configuration_updater updater;
    peer_network network;
    configuration_relay relay;
};

template <typename Condition> bool runUntil(asio::io_context &context, Condition done)
{
    const time_point limit = millis_clock::now() + longest_run;
    while (!done() && millis_clock::now() < limit)
        context.run_one_for(duration(20));
    return done();
}

} // namespace

TEST_CASE("A node takes in a configuration")
{
    counters events;
    configuration_holder holder;
    configuration_sync_policy spread("n1", sync_timing(), 1, millis_clock::now());
    configuration_updater updater(keys, holder, spread, events);
    REQUIRE(updater.offer(documentAt(5)));

    SUBCASE("but no older one")
    {
        CHECK(!updater.offer(documentAt(4, "[]")));
        CHECK(holder.current()->zonesOut.contains("kl-a"));
    }
    SUBCASE("but none that is malformed: the last good one stays, and the fault is shown")
    {
        CHECK(!updater.offer(documentAt(6, "nonsense")));
        CHECK(holder.current()->revision == 5);
        CHECK(holder.current()->zonesOut.contains("kl-a"));
        CHECK(updater.fault().find("revision 6") != std::string::npos);
        CHECK(updater.fault().find(keys.zonesOut()) != std::string::npos);
        SUBCASE("until a good one mends it")
        {
            CHECK(updater.offer(documentAt(7, "[]")));
            CHECK(updater.fault().empty());
            CHECK(holder.current()->zonesOut.empty());
        }
    }
    SUBCASE("and never goes back, whatever comes in which order")
    {
        CHECK(rc::check([] {
            counters count;
            configuration_holder generated;
            configuration_sync_policy decisions("n1", sync_timing(), 1, millis_clock::now());
            configuration_updater offered(keys, generated, decisions, count);
            std::int64_t highest = 0;
            const auto offers = *rc::gen::container<std::vector<std::pair<int, bool>>>(
                rc::gen::pair(rc::gen::inRange(1, 30), rc::gen::arbitrary<bool>()));
            for (const auto &[revision, good] : offers) {
                const bool taken = offered.offer(documentAt(revision, good ? "[]" : "{"));
                RC_ASSERT(taken == (good && revision > highest));
                if (taken)
                    highest = revision;
                RC_ASSERT(generated.current()->revision == highest);
                RC_ASSERT(offered.document().revision == highest);
            }
        }));
    }
}

TEST_CASE("Nodes tell each other of their configuration")
{
    SUBCASE("in messages that keep every field")
    {
        CHECK(rc::check([](std::int64_t revision, bool asks, bool reaches,
                           const std::map<std::string, std::string> &rows) {
            configuration_message message;
            message.revision = std::abs(revision % 1'000'000);
            message.asks = asks;
            message.reachesStore = reaches;
            for (const auto &[key, value] : rows)
                message.entries.push_back({ key, value, message.revision });
            const auto back = decodeConfigurationMessage(encodeConfigurationMessage(message));
            RC_ASSERT(back.has_value());
            RC_ASSERT(back->revision == message.revision);
            RC_ASSERT(back->asks == asks);
            RC_ASSERT(back->reachesStore == reaches);
            RC_ASSERT(back->entries.size() == rows.size());
            for (const store_entry &entry : back->entries)
                RC_ASSERT(rows.at(entry.key) == entry.value);
        }));
    }
    SUBCASE("and bytes that are no message are refused")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t> &bytes) {
            const auto decoded = decodeConfigurationMessage(bytes);
            RC_ASSERT(!decoded || decoded->revision >= 0);
        }));
    }

    asio::io_context context(1);
    linked_node first(context, "n1");
    linked_node second(context, "n2");
    REQUIRE(first.network.start(first_address));
    REQUIRE(second.network.start(second_address));

    SUBCASE("over a link in either direction")
    {
        // Only the first node dials: the second answers on the link that it accepted.
        first.network.setPeers({ { "n2", second_address } });
        second.updater.offer(documentAt(5));
        CHECK(runUntil(context, [&] { return first.holder.current()->revision == 5; }));
        CHECK(first.spread.isCurrent());
        SUBCASE("and a newer one goes the other way")
        {
            first.updater.offer(documentAt(9, "[]"));
            CHECK(runUntil(context, [&] { return second.holder.current()->revision == 9; }));
            CHECK(second.events.value("configuration_questions") == 1);
        }
    }
    SUBCASE("and a node that cannot read a newer one keeps its own and asks no more")
    {
        first.network.setPeers({ { "n2", second_address } });
        second.updater.offer(documentAt(5));
        REQUIRE(runUntil(context, [&] { return first.holder.current()->revision == 5; }));
        const auto channel = first.network.channelTo("n2");
        const configuration_message broken { 6, false, false, documentAt(6, "{").entries };
        channel->send(message_kind::configuration_update, encodeConfigurationMessage(broken));
        CHECK(runUntil(context, [&] { return !second.updater.fault().empty(); }));
        CHECK(second.holder.current()->revision == 5);
        CHECK(channel->isOpen());
    }
    SUBCASE("and a link that carries nonsense is closed")
    {
        first.network.setPeers({ { "n2", second_address } });
        REQUIRE(runUntil(context, [&] { return first.network.channelTo("n2") != nullptr; }));
        const auto channel = first.network.channelTo("n2");
        const std::vector<std::uint8_t> nonsense(40, 0xff);
        channel->send(message_kind::configuration_update, nonsense);
        CHECK(runUntil(context, [&] { return !channel->isOpen(); }));
    }
    first.stop();
    second.stop();
    runUntil(context, [&] { return context.stopped(); });
}
