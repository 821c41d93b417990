#include "gooseberrymoor/membership/membership_manager.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/membership/cell_view_codec.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

using namespace gooseberrymoor;

namespace {

constexpr std::uint16_t first_port = 20'040;
constexpr std::uint16_t silent_port = 20'049;
constexpr int target_count = 12;
constexpr duration poll_interval { 30 };
constexpr duration test_timeout { 20'000 };
const ownership_timing timing { duration(20), duration(300), duration(50) };

// Keeps a single key in memory.
class memory_store : public key_value_store
{
public:
    asio::awaitable<tl::expected<store_read, store_error>> readPrefix(std::string prefix) override
    {
        if (!up)
            co_return tl::unexpected(store_error {});
        store_read read;
        read.revision = revision;
        if (entry.modRevision > 0) {
            entry.key = prefix;
            read.entries.push_back(entry);
        }
        co_return read;
    }

    asio::awaitable<tl::expected<transaction_result, store_error>>
    transact(store_transaction transaction) override
    {
        if (!up)
            co_return tl::unexpected(store_error {});
        transaction_result result;
        result.succeeded = transaction.compares.front().modRevision == entry.modRevision;
        if (result.succeeded)
            put(transaction.puts.front().value);
        result.revision = revision;
        co_return result;
    }

    void put(std::string value)
    {
        entry.value = std::move(value);
        entry.modRevision = ++revision;
    }

    bool up = true;
    std::int64_t revision = 1;
    store_entry entry;
};

member memberOf(int index)
{
    const auto port = static_cast<std::uint16_t>(first_port + index);
    return { "n" + std::to_string(index),
             100U + static_cast<unsigned>(index),
             "kl-a",
             { "127.0.0.1", port },
             { "127.0.0.1", 8001 },
             false };
}

std::set<std::string> allTargets()
{
    std::set<std::string> targets;
    for (int i = 0; i < target_count; ++i)
        targets.insert("standings/t" + std::to_string(i));
    return targets;
}

struct test_node
{
    test_node(asio::io_context &context, key_value_store &store, int index)
        : network(context.get_executor(), memberOf(index).name, "main", events),
          manager(context.get_executor(), store, "main", memberOf(index), poll_interval, timing,
                  network, events)
    {
        manager.configure(allTargets(), {});
        REQUIRE(network.start(memberOf(index).peerAddress));
        startTask(context.get_executor(), events, "membership", manager.run());
    }

    void stop()
    {
        manager.stop();
        network.stop();
    }

    int heldTargetCount() const
    {
        int count = 0;
        for (const std::string &target : allTargets())
            count += manager.owners().maySend(target, millis_clock::now()) ? 1 : 0;
        return count;
    }

    counters events;
    peer_network network;
    membership_manager manager;
};

// Runs `context` until `done` returns true, for `test_timeout` at most. Returns the last result.
template <typename Condition> bool runUntil(asio::io_context &context, Condition done)
{
    const time_point limit = millis_clock::now() + test_timeout;
    while (!done() && millis_clock::now() < limit)
        context.run_one_for(duration(10));
    return done();
}

} // namespace

TEST_CASE("Three nodes form a cell over their links")
{
    asio::io_context context;
    memory_store store;
    std::vector<std::unique_ptr<test_node>> nodes;
    for (int i = 0; i < 3; ++i)
        nodes.push_back(std::make_unique<test_node>(context, store, i));
    const auto heldTargetsOf = [&](std::vector<int> some) {
        int count = 0;
        for (const int index : some)
            count += nodes[index]->heldTargetCount();
        return count;
    };
    const auto haveConverged = [&] {
        return heldTargetsOf({ 0, 1, 2 }) == target_count
            && std::ranges::all_of(nodes, [&](const auto &each) {
                   return each->manager.isActiveMember() && each->heldTargetCount() > 0
                       && each->manager.view() == nodes[0]->manager.view();
               });
    };
    REQUIRE(runUntil(context, haveConverged));

    SUBCASE("and a node that leaves hands its targets over to the others")
    {
        bool left = false;
        const auto leave = [&]() -> asio::awaitable<void> {
            co_await nodes[2]->manager.markLeaving(millis_clock::now() + test_timeout);
            left = co_await nodes[2]->manager.leave(millis_clock::now() + test_timeout);
        };
        startTask(context.get_executor(), nodes[2]->events, "leave", leave());
        CHECK(runUntil(context, [&] { return left && heldTargetsOf({ 0, 1 }) == target_count; }));
        CHECK(runUntil(context, [&] { return nodes[0]->manager.view().members.size() == 2; }));
        CHECK(nodes[0]->manager.view().removals == 0);
    }
    SUBCASE("and a node that fails is removed from the view")
    {
        nodes[2]->stop();
        CHECK(runUntil(context, [&] { return heldTargetsOf({ 0, 1 }) == target_count; }));
        CHECK(nodes[0]->manager.view().removals == 1);
    }
    SUBCASE("and keep their targets through a store outage")
    {
        store.up = false;
        const time_point later = millis_clock::now() + 4 * timing.lease;
        runUntil(context, [&] { return millis_clock::now() >= later; });
        CHECK(runUntil(context, [&] { return heldTargetsOf({ 0, 1, 2 }) == target_count; }));
    }
    SUBCASE("and close a link that has gone silent")
    {
        asio::ip::tcp::acceptor silent(context,
                                       { asio::ip::make_address("127.0.0.1"), silent_port });
        cell_view view = nodes[0]->manager.view();
        member silentMember = memberOf(9);
        silentMember.peerAddress = { "127.0.0.1", silent_port };
        view.put(silentMember);
        store.put(encodeView(view));
        CHECK(runUntil(context, [&] { return nodes[0]->events.value("peer_links_silent") >= 1; }));
    }
    for (const auto &each : nodes) {
        each->stop();
        CHECK(each->events.value("task_exceptions") == 0);
    }
    context.run_for(duration(300));
}
