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
constexpr duration max_run_time { 10'000 };
constexpr duration announce_interval { 50 };

store_read documentAt(std::int64_t revision, const std::string &zones = "[\"kl-a\"]")
{
    store_read read;
    read.revision = revision;
    read.entries.push_back({ keys.head(), encodeChangeRecord({ "1", "kim", "zone" }), revision });
    read.entries.push_back({ keys.zonesOut(), zones, revision });
    return read;
}

sync_timing fastTiming()
{
    sync_timing timing;
    timing.announce = announce_interval;
    return timing;
}

// The configuration exchange of one node, without its store.
struct relay_node
{
    relay_node(asio::io_context &context, const std::string &name)
        : syncPolicy(name, fastTiming(), 1, millis_clock::now()),
          updater(keys, holder, syncPolicy, events),
          network(context.get_executor(), name, "main", events),
          relay(context.get_executor(), updater, syncPolicy, network, announce_interval, events)
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
    configuration_sync_policy syncPolicy;
    configuration_updater updater;
    peer_network network;
    configuration_relay relay;
};

template <typename Condition> bool runUntil(asio::io_context &context, Condition done)
{
    const time_point limit = millis_clock::now() + max_run_time;
    while (!done() && millis_clock::now() < limit)
        context.run_one_for(duration(20));
    return done();
}

} // namespace

TEST_CASE("A node activates a configuration")
{
    counters events;
    configuration_holder holder;
    configuration_sync_policy syncPolicy("n1", sync_timing(), 1, millis_clock::now());
    configuration_updater updater(keys, holder, syncPolicy, events);
    REQUIRE(updater.offer(documentAt(5)));

    SUBCASE("but not an older one")
    {
        CHECK(!updater.offer(documentAt(4, "[]")));
        CHECK(holder.current()->zonesOut.contains("kl-a"));
    }
    SUBCASE("but not a malformed one: the last valid one stays active, and the error is reported")
    {
        CHECK(!updater.offer(documentAt(6, "nonsense")));
        CHECK(holder.current()->revision == 5);
        CHECK(holder.current()->zonesOut.contains("kl-a"));
        CHECK(updater.fault().find("revision 6") != std::string::npos);
        CHECK(updater.fault().find(keys.zonesOut()) != std::string::npos);
        SUBCASE("until a newer valid one arrives")
        {
            CHECK(updater.offer(documentAt(7, "[]")));
            CHECK(updater.fault().empty());
            CHECK(holder.current()->zonesOut.empty());
        }
    }
    SUBCASE("and never goes back to an older revision, in any order of arrival")
    {
        CHECK(rc::check([] {
            counters count;
            configuration_holder freshHolder;
            configuration_sync_policy freshPolicy("n1", sync_timing(), 1, millis_clock::now());
            configuration_updater freshUpdater(keys, freshHolder, freshPolicy, count);
            std::int64_t highest = 0;
            const auto offers = *rc::gen::container<std::vector<std::pair<int, bool>>>(
                rc::gen::pair(rc::gen::inRange(1, 30), rc::gen::arbitrary<bool>()));
            for (const auto &[revision, valid] : offers) {
                const bool activated = freshUpdater.offer(documentAt(revision, valid ? "[]" : "{"));
                RC_ASSERT(activated == (valid && revision > highest));
                if (activated)
                    highest = revision;
                RC_ASSERT(freshHolder.current()->revision == highest);
                RC_ASSERT(freshUpdater.document().revision == highest);
            }
        }));
    }
}

TEST_CASE("Nodes exchange their configurations")
{
    SUBCASE("in messages that preserve every field")
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
    SUBCASE("and arbitrary bytes are rejected or give a valid revision")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t> &bytes) {
            const auto decoded = decodeConfigurationMessage(bytes);
            RC_ASSERT(!decoded || decoded->revision >= 0);
        }));
    }

    asio::io_context context(1);
    relay_node first(context, "n1");
    relay_node second(context, "n2");
    REQUIRE(first.network.start(first_address));
    REQUIRE(second.network.start(second_address));

    SUBCASE("over a link in either direction")
    {
        // Only the first node connects; the second replies over the connection it accepted.
        first.network.setPeers({ { "n2", second_address } });
        second.updater.offer(documentAt(5));
        CHECK(runUntil(context, [&] { return first.holder.current()->revision == 5; }));
        CHECK(first.syncPolicy.isCurrent());
        SUBCASE("and a newer one is sent the other way")
        {
            first.updater.offer(documentAt(9, "[]"));
            CHECK(runUntil(context, [&] { return second.holder.current()->revision == 9; }));
            CHECK(second.events.value("configuration_questions") == 1);
        }
    }
    SUBCASE("and a node that rejects a newer one keeps its own, and the link")
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
    SUBCASE("and a link is closed after a malformed message")
    {
        first.network.setPeers({ { "n2", second_address } });
        REQUIRE(runUntil(context, [&] { return first.network.channelTo("n2") != nullptr; }));
        const auto channel = first.network.channelTo("n2");
        const std::vector<std::uint8_t> malformed(40, 0xff);
        channel->send(message_kind::configuration_update, malformed);
        CHECK(runUntil(context, [&] { return !channel->isOpen(); }));
    }
    first.stop();
    second.stop();
    runUntil(context, [&] { return context.stopped(); });
}
