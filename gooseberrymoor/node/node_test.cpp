#include "gooseberrymoor/node/node.h"

#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/configuration/change_record.h"
#include "gooseberrymoor/configuration/configuration_change.h"
#include "gooseberrymoor/configuration/configuration_writer.h"
#include "gooseberrymoor/http/http_connection.h"
#include "testing/store_stand_in/store_handler.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

using namespace gooseberrymoor;

namespace {

const endpoint store_address { "127.0.0.1", 23031 };
constexpr std::uint16_t first_peer_port = 23032;
constexpr std::uint16_t first_entry_port = 23042;
constexpr duration max_run_time { 20'000 };
constexpr duration call_timeout { 2000 };
constexpr std::size_t max_body_bytes = 1'400'000;
constexpr int many_requests = 30'000;

// Records the name of each logged event.
class recording_log : public event_log
{
public:
    void write(std::string_view event, std::initializer_list<field>) override
    {
        eventNames.emplace_back(event);
    }

    std::vector<std::string> eventNames;
};

std::uint16_t portFrom(std::uint16_t first, int number)
{
    return static_cast<std::uint16_t>(first + number);
}

node_settings makeSettings(int number)
{
    const auto text = "[node]\nname = n" + std::to_string(number)
        + "\navailability_zone = kl-a\npeer_address = 127.0.0.1:"
        + std::to_string(portFrom(first_peer_port, number)) + "\nentry_address = 127.0.0.1:"
        + std::to_string(portFrom(first_entry_port, number)) + "\nseed_peers = 127.0.0.1:"
        + std::to_string(first_peer_port) + "\n[store]\naddresses = " + toString(store_address)
        + "\npoll_ms = 100\nwatch_ms = 300\ntimeout_ms = 300\n"
          "[configuration]\nannounce_ms = 50\nisolation_ms = 1000\n"
          "[entry]\ndirectory_ttl_ms = 100\n[query]\ndefault_timeout_ms = 100\nmax_timeout_ms = "
          "100\n"
          "[shutdown]\nlinger_ms = 200\n";
    const auto settings = parseNodeSettings("test.ini", text);
    INFO((settings ? std::string() : settings.error().text()));
    REQUIRE(settings);
    return *settings;
}

template <typename Condition> bool runUntil(asio::io_context &context, Condition isDone)
{
    const time_point deadline = millis_clock::now() + max_run_time;
    while (!isDone() && millis_clock::now() < deadline)
        context.run_one_for(duration(20));
    return isDone();
}

// Runs `task` on `context` until it completes and returns its result.
template <typename Result>
Result runToCompletion(asio::io_context &context, asio::awaitable<Result> task)
{
    std::optional<Result> result;
    asio::co_spawn(context, std::move(task), [&result](std::exception_ptr failure, Result value) {
        if (!failure)
            result.emplace(std::move(value));
    });
    REQUIRE(runUntil(context, [&] { return result.has_value(); }));
    return std::move(*result);
}

asio::awaitable<int> sendRequests(endpoint entry, int requestCount)
{
    http_connection connection(co_await asio::this_coro::executor);
    const auto connected = co_await connection.connect(entry, millis_clock::now() + call_timeout);
    int answered = 0;
    for (int each = 0; connected && each < requestCount; ++each) {
        http_request request("POST", "/v1/services/none/query", "{}");
        const auto reply
            = co_await connection.exchange(std::move(request), millis_clock::now() + call_timeout);
        if (!reply)
            break;
        ++answered;
    }
    co_return answered;
}

configuration_change makeZonesChange(const std::string &text)
{
    configuration_change change;
    change.puts.push_back({ configuration_keys("main").zonesOut(), text, 0 });
    change.what = "zones";
    return change;
}

// A store and the nodes that use it, all on one executor.
struct node_fixture
{
    node_fixture() : handler(context.get_executor(), 1)
    {
        REQUIRE(server.start(store_address));
        writeZones(0, "[]");
    }

    ~node_fixture()
    {
        for (auto &each : nodes)
            startTask(context.get_executor(), events, "stop", each->stop());
        setFaults(R"({"outage":"refused"})");
        server.stopAccepting();
        context.run_for(duration(700));
    }

    node &start(int number)
    {
        nodes.push_back(std::make_unique<node>(context.get_executor(), makeSettings(number), log));
        REQUIRE(nodes.back()->start());
        return *nodes.back();
    }

    std::int64_t writeZones(std::int64_t baseRevision, const std::string &text)
    {
        configuration_writer writer(store, configuration_keys("main"), "kim");
        const auto result
            = runToCompletion(context, writer.write(baseRevision, makeZonesChange(text)));
        REQUIRE(result.state == change_state::accepted);
        return result.revision;
    }

    void setFaults(const std::string &faults)
    {
        handler.handleControl({ "POST", "/control", faults });
    }

    boost::json::object readDump(int number)
    {
        const endpoint entry { "127.0.0.1", portFrom(first_entry_port, number) };
        const auto reply = runToCompletion(context,
                                           exchangeOnce(entry, http_request("GET", "/v1/dump"),
                                                        millis_clock::now() + call_timeout));
        REQUIRE(reply);
        return boost::json::parse(reply->body).as_object();
    }

    bool hasPhase(int number, const std::string &phase)
    {
        return readDump(number).at("phase").as_string() == phase;
    }

    std::int64_t revisionAt(int number)
    {
        return readDump(number).at("configuration").at("revision").to_number<std::int64_t>();
    }

    std::ptrdiff_t countEvents(const std::string &event) const
    {
        return std::ranges::count(log.eventNames, event);
    }

    asio::io_context context { 1 };
    counters events;
    recording_log log;
    store_handler handler;
    http_server server { context.get_executor(), handler, events, max_body_bytes };
    etcd_store store { { store_address }, call_timeout, events };
    std::vector<std::unique_ptr<node>> nodes;
};

} // namespace

TEST_CASE("A node runs with the platform's store")
{
    node_fixture fixture;
    fixture.start(0);
    REQUIRE(runUntil(fixture.context, [&] { return fixture.hasPhase(0, "ready"); }));
    REQUIRE(runUntil(fixture.context,
                     [&] { return fixture.countEvents("configuration_in_force") == 1; }));
    const endpoint entry { "127.0.0.1", first_entry_port };

    SUBCASE("and writes no log line while it answers many requests")
    {
        const std::size_t before = fixture.log.eventNames.size();
        CHECK(runToCompletion(fixture.context, sendRequests(entry, many_requests))
              == many_requests);
        CHECK(fixture.log.eventNames.size() == before);
        const auto counts = fixture.readDump(0).at("counters").as_object();
        CHECK(counts.at("refused_unknown_service").to_number<int>() == many_requests);
    }
    SUBCASE("and a malformed configuration is reported and leaves the last valid one in force")
    {
        const std::int64_t validRevision = fixture.revisionAt(0);
        const std::int64_t malformedRevision = fixture.writeZones(validRevision, "nonsense");
        const auto reportedError = [&] {
            return std::string(fixture.readDump(0).at("configuration").at("fault").as_string());
        };
        CHECK(runUntil(fixture.context, [&] { return !reportedError().empty(); }));
        CHECK(fixture.revisionAt(0) == validRevision);
        CHECK(runUntil(fixture.context,
                       [&] { return fixture.countEvents("configuration_refused") == 1; }));
        SUBCASE("until it is corrected")
        {
            const std::int64_t correctedRevision = fixture.writeZones(malformedRevision, "[]");
            CHECK(runUntil(fixture.context,
                           [&] { return fixture.revisionAt(0) == correctedRevision; }));
            CHECK(reportedError().empty());
        }
    }
    SUBCASE("and stops accepting requests when neither the store nor any peer responds")
    {
        fixture.setFaults(R"({"outage":"refused"})");
        CHECK(runUntil(fixture.context, [&] { return fixture.hasPhase(0, "isolated"); }));
        const auto refused = runToCompletion(
            fixture.context,
            exchangeOnce(entry, http_request("POST", "/v1/services/none/query", "{}"),
                         millis_clock::now() + call_timeout));
        REQUIRE(refused);
        CHECK(refused->body.find("not_run") != std::string::npos);
        CHECK(refused->body.find("not_ready") != std::string::npos);
        CHECK(fixture.countEvents("node_isolated") == 1);
        SUBCASE("and accepts them again when the store is back")
        {
            fixture.setFaults(R"({"outage":"none"})");
            CHECK(runUntil(fixture.context, [&] { return fixture.hasPhase(0, "ready"); }));
        }
    }
    SUBCASE("and keeps serving during a store outage while it has a peer")
    {
        fixture.start(1);
        REQUIRE(runUntil(fixture.context, [&] { return fixture.hasPhase(1, "ready"); }));
        REQUIRE(runUntil(fixture.context, [&] {
            return fixture.readDump(0).at("links").as_array().size() == 1
                && fixture.readDump(1).at("links").as_array().size() == 1;
        }));
        fixture.setFaults(R"({"outage":"refused"})");
        fixture.context.run_for(duration(2500));
        CHECK(fixture.hasPhase(0, "ready"));
        CHECK(fixture.hasPhase(1, "ready"));
        SUBCASE("and a new node gets the configuration from a seed peer, but is not a member yet")
        {
            const std::int64_t revision = fixture.revisionAt(0);
            fixture.start(2);
            CHECK(runUntil(fixture.context, [&] { return fixture.revisionAt(2) == revision; }));
            CHECK(fixture.hasPhase(2, "starting"));
            fixture.setFaults(R"({"outage":"none"})");
            CHECK(runUntil(fixture.context, [&] { return fixture.hasPhase(2, "ready"); }));
        }
    }
}
