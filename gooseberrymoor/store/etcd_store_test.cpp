#include "gooseberrymoor/store/etcd_store.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_server.h"
#include "testing/store_stand_in/store_handler.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const endpoint store_address { "127.0.0.1", 23001 };
const endpoint closed_address { "127.0.0.1", 23003 };
constexpr duration call_timeout { 400 };
constexpr duration max_run_time { 20'000 };
constexpr std::size_t max_body_bytes = 1'400'000;
constexpr std::uint32_t seed = 7;

// Runs `task` on `context` until it completes and returns its result.
template <typename Result> Result runOn(asio::io_context &context, asio::awaitable<Result> task)
{
    std::optional<Result> result;
    asio::co_spawn(context, std::move(task), [&result](std::exception_ptr failure, Result value) {
        if (!failure)
            result.emplace(std::move(value));
    });
    const time_point limit = millis_clock::now() + max_run_time;
    while (!result && millis_clock::now() < limit)
        context.run_one_for(duration(50));
    REQUIRE(result);
    return std::move(*result);
}

store_transaction put(const std::string &key, const std::string &value, std::int64_t lease = 0)
{
    return { {}, { { key, value, lease } }, {} };
}

asio::awaitable<tl::expected<bool, store_error>>
watchWhileWriting(asio::io_context &context, key_value_store &store, std::int64_t after)
{
    asio::co_spawn(context, store.transact(put("/a/y", "2")),
                   [](std::exception_ptr, tl::expected<transaction_result, store_error>) {});
    co_return co_await store.waitForChange("/a/", after, duration(5000));
}

} // namespace

TEST_CASE("A node uses an etcd store")
{
    asio::io_context context(1);
    counters events;
    store_handler handler(context.get_executor(), seed);
    http_server server(context.get_executor(), handler, events, max_body_bytes);
    REQUIRE(server.start(store_address));
    etcd_store store({ store_address }, call_timeout, events);

    const auto setFaults = [&](const std::string &faults) {
        const http_reply reply = handler.handleControl({ "POST", "/control", faults });
        return reply.status;
    };
    const auto account = [&] {
        return boost::json::parse(handler.handleControl({ "GET", "/account" }).body).as_object();
    };

    SUBCASE("it reads back what it wrote")
    {
        const auto written = runOn(context, store.transact(put("/a/x", "1")));
        REQUIRE(written);
        CHECK(written->succeeded);
        const auto read = runOn(context, store.readKey("/a/x"));
        REQUIRE(read);
        REQUIRE(read->entries.size() == 1);
        CHECK(read->entries[0].modRevision == written->revision);
        SUBCASE("a read of a key matches that key only")
        {
            const auto other = runOn(context, store.readKey("/a/"));
            REQUIRE(other);
            CHECK(other->entries.empty());
        }
        SUBCASE("several reads share one connection")
        {
            const auto again = runOn(context, store.readPrefix("/a/"));
            CHECK(again);
            // One for the reads; the server may not have closed the transaction's connection yet.
            CHECK(server.openConnections() <= 2);
        }
        SUBCASE("a watch returns at the next change")
        {
            const auto watched
                = runOn(context, watchWhileWriting(context, store, written->revision));
            REQUIRE(watched);
            CHECK(*watched);
            CHECK(account().at("calls").at("/v3/watch").to_number<int>() == 1);
        }
        SUBCASE("a watch from an older revision returns at once")
        {
            const auto watched = runOn(context, store.waitForChange("/a/", 1, duration(5000)));
            REQUIRE(watched);
            CHECK(*watched);
        }
        SUBCASE("a watch without a change returns false at its timeout")
        {
            const auto watched = runOn(context, store.waitForChange("/b/", 1, duration(300)));
            REQUIRE(watched);
            CHECK(!*watched);
            SUBCASE("and the store no longer keeps the watch")
            {
                const time_point limit = millis_clock::now() + max_run_time;
                const auto watching = [&] { return account().at("watching").to_number<int>(); };
                while (watching() > 0 && millis_clock::now() < limit)
                    context.run_one_for(duration(20));
                CHECK(watching() == 0);
            }
        }
    }
    SUBCASE("it puts a key with a lease")
    {
        const auto lease = runOn(context, store.grantLease(duration(2000)));
        REQUIRE(lease);
        REQUIRE(runOn(context, store.transact(put("/l/x", "1", lease->id))));
        const auto left = runOn(context, store.keepAlive(lease->id));
        REQUIRE(left);
        CHECK(left->remaining == duration(2000));
        SUBCASE("expiry of the lease deletes the key, which a watch reports")
        {
            const auto before = runOn(context, store.readPrefix("/l/"));
            REQUIRE(before);
            CHECK(before->entries.size() == 1);
            const auto watched
                = runOn(context, store.waitForChange("/l/", before->revision, duration(10'000)));
            REQUIRE(watched);
            CHECK(*watched);
            const auto after = runOn(context, store.readPrefix("/l/"));
            REQUIRE(after);
            CHECK(after->entries.empty());
            SUBCASE("and the expired lease accepts no further keys")
            {
                CHECK(!runOn(context, store.transact(put("/l/y", "1", lease->id))));
                const auto ended = runOn(context, store.keepAlive(lease->id));
                REQUIRE(ended);
                CHECK(ended->remaining == duration(0));
            }
        }
    }
    SUBCASE("a write whose response is lost is reported as may_have_run")
    {
        CHECK(setFaults(R"({"lose_next":1})") == 200);
        const auto written = runOn(context, store.transact(put("/a/x", "1")));
        REQUIRE(!written);
        CHECK(written.error().outcome == verdict::may_have_run);
        const auto read = runOn(context, store.readKey("/a/x"));
        REQUIRE(read);
        CHECK(read->entries.size() == 1);
        CHECK(account().at("answers_lost").to_number<int>() == 1);
    }
    SUBCASE("a read times out if the store stops answering on an open connection")
    {
        REQUIRE(runOn(context, store.readKey("/a/x")));
        CHECK(setFaults(R"({"outage":"silent"})") == 200);
        const auto silent = runOn(context, store.readKey("/a/x"));
        REQUIRE(!silent);
        CHECK(silent.error().failure == store_failure::timed_out);
        CHECK(events.value("store_connections_lost") == 1);
        SUBCASE("and a later read succeeds on a new connection")
        {
            CHECK(setFaults(R"({"outage":"none"})") == 200);
            CHECK(runOn(context, store.readKey("/a/x")));
        }
    }
    SUBCASE("reads and watches fail if the store closes every connection")
    {
        CHECK(setFaults(R"({"outage":"refused"})") == 200);
        CHECK(!runOn(context, store.readKey("/a/x")));
        CHECK(!runOn(context, store.waitForChange("/a/", 0, duration(1000))));
    }
    SUBCASE("nothing listens at the address, so the write was not executed")
    {
        etcd_store unreachable({ closed_address }, call_timeout, events);
        const auto written = runOn(context, unreachable.transact(put("/a/x", "1")));
        REQUIRE(!written);
        CHECK(written.error().outcome == verdict::not_run);
        SUBCASE("and the next call uses the next address")
        {
            etcd_store twoAddresses({ closed_address, store_address }, call_timeout, events);
            CHECK(!runOn(context, twoAddresses.readKey("/a/x")));
            CHECK(runOn(context, twoAddresses.readKey("/a/x")));
        }
    }
    SUBCASE("a read fails if the store responds with an error")
    {
        CHECK(setFaults(R"({"error_permille":1000})") == 200);
        CHECK(!runOn(context, store.readKey("/a/x")));
    }
    SUBCASE("invalid fault settings of the test store are rejected and change nothing")
    {
        CHECK(setFaults(R"({"outage":"maybe"})") == 400);
        CHECK(setFaults(R"({"latency_ms":-1})") == 400);
        CHECK(setFaults("nonsense") == 400);
        CHECK(runOn(context, store.readKey("/a/x")));
    }
    SUBCASE("a malformed call is rejected and changes nothing")
    {
        for (const char *body : { "", "[]", "{}", R"({"compare":1,"success":[]})",
                                  R"({"compare":[],"success":[{"request_put":7}]})" }) {
            const auto reply = runOn(context,
                                     exchangeOnce(store_address, { "POST", "/v3/kv/txn", body },
                                                  millis_clock::now() + call_timeout));
            REQUIRE(reply);
            CHECK(reply->status == 400);
        }
        const auto read = runOn(context, store.readPrefix("/"));
        REQUIRE(read);
        CHECK(read->revision == 1);
    }
    server.stopAccepting();
}
