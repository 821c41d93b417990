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
constexpr duration longest_run { 20'000 };
constexpr duration call_timeout { 2000 };
constexpr std::size_t most_body_bytes = 1'400'000;
constexpr int many_requests = 30'000;

// Counts lines, and keeps the events.
class counting_log : public event_log
{
public:
    void write(std::string_view event, std::initializer_list<field>) override
    {
        lines.emplace_back(event);
    }

    std::vector<std::string> lines;
};

std::uint16_t portFrom(std::uint16_t first, int number)
{
    return static_cast<std::uint16_t>(first + number);
}

node_settings settingsOf(int number)
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

template <typename Condition> bool runUntil(asio::io_context &context, Condition done)
{
    const time_point limit = millis_clock::now() + longest_run;
    while (!done() && millis_clock::now() < limit)
        context.run_one_for(duration(20));
    return done();
}

// Runs `task` to its end on `context` and returns its result.
template <typename Result> Result runOn(asio::io_context &context, asio::awaitable<Result> task)
{
    std::optional<Result> result;
    asio::co_spawn(context, std::move(task), [&result](std::exception_ptr failure, Result value) {
        if (!failure)
            result.emplace(std::move(value));
    });
    REQUIRE(runUntil(context, [&] { return result.has_value(); }));
    return std::move(*result);
}

asio::awaitable<int> requestMany(endpoint entry, int requests)
{
    http_connection connection(co_await asio::this_coro::executor);
    const auto connected = co_await connection.connect(entry, millis_clock::now() + call_timeout);
    int answered = 0;
    for (int each = 0; connected && each < requests; ++each) {
        http_request request("POST", "/v1/services/none/query", "{}");
        const auto reply
            = co_await connection.exchange(std::move(request), millis_clock::now() + call_timeout);
        if (!reply)
            break;
        ++answered;
    }
    co_return answered;
}

configuration_change zonesChange(const std::string &text)
{
    configuration_change change;
    change.puts.push_back({ configuration_keys("main").zonesOut(), text, 0 });
    change.what = "zones";
    return change;
}

// A store and nodes beside it, all on one executor.
struct small_site
{
    small_site() : handler(context.get_executor(), 1)
    {
        REQUIRE(server.start(store_address));
        writeZones(0, "[]");
    }

    ~small_site()
    {
        for (auto &each : nodes)
            startTask(context.get_executor(), events, "stop", each->stop());
        control(R"({"outage":"refused"})");
        server.stopAccepting();
        context.run_for(duration(700));
    }

    node &start(int number)
    {
        nodes.push_back(std::make_unique<node>(context.get_executor(), settingsOf(number), log));
        REQUIRE(nodes.back()->start());
        return *nodes.back();
    }

    std::int64_t writeZones(std::int64_t baseRevision, const std::string &text)
    {
        configuration_writer writer(store, configuration_keys("main"), "kim");
        const auto result = runOn(context, writer.write(baseRevision, zonesChange(text)));
        REQUIRE(result.state == change_state::accepted);
        return result.revision;
    }

    void control(const std::string &faults)
    {
        handler.handleControl({ "POST", "/control", faults });
    }

    boost::json::object dumpOf(int number)
    {
        const endpoint entry { "127.0.0.1", portFrom(first_entry_port, number) };
        const auto reply = runOn(context,
                                 exchangeOnce(entry, http_request("GET", "/v1/dump"),
                                              millis_clock::now() + call_timeout));
        REQUIRE(reply);
        return boost::json::parse(reply->body).as_object();
    }

    bool isPhase(int number, const std::string &phase)
    {
        return dumpOf(number).at("phase").as_string() == phase;
    }

    std::int64_t revisionAt(int number)
    {
        return dumpOf(number).at("configuration").at("revision").to_number<std::int64_t>();
    }

    std::ptrdiff_t linesOf(const std::string &event) const
    {
        return std::ranges::count(log.lines, event);
    }

    asio::io_context context { 1 };
    counters events;
    counting_log log;
    store_handler handler;
    http_server server { context.get_executor(), handler, events, most_body_bytes };
    etcd_store store { { store_address }, call_timeout, events };
    std::vector<std::unique_ptr<node>> nodes;
};

} // namespace

TEST_CASE("A node serves beside the platform's store")
{
    small_site site;
    site.start(0);
    REQUIRE(runUntil(site.context, [&] { return site.isPhase(0, "ready"); }));
    REQUIRE(runUntil(site.context, [&] { return site.linesOf("configuration_in_force") == 1; }));
    const endpoint entry { "127.0.0.1", first_entry_port };

    SUBCASE("and very many requests write no line to the log")
    {
        const std::size_t before = site.log.lines.size();
        CHECK(runOn(site.context, requestMany(entry, many_requests)) == many_requests);
        CHECK(site.log.lines.size() == before);
        const auto counts = site.dumpOf(0).at("counters").as_object();
        CHECK(counts.at("refused_unknown_service").to_number<int>() == many_requests);
    }
    SUBCASE("and a malformed configuration leaves the last good one in force, and is shown")
    {
        const std::int64_t good = site.revisionAt(0);
        const std::int64_t bad = site.writeZones(good, "nonsense");
        const auto faultAt = [&] {
            return std::string(site.dumpOf(0).at("configuration").at("fault").as_string());
        };
        CHECK(runUntil(site.context, [&] { return !faultAt().empty(); }));
        CHECK(site.revisionAt(0) == good);
        CHECK(runUntil(site.context, [&] { return site.linesOf("configuration_refused") == 1; }));
        SUBCASE("until it is mended")
        {
            const std::int64_t mended = site.writeZones(bad, "[]");
            CHECK(runUntil(site.context, [&] { return site.revisionAt(0) == mended; }));
            CHECK(faultAt().empty());
        }
    }
    SUBCASE("and stops taking new work when it hears neither store nor peers")
    {
        site.control(R"({"outage":"refused"})");
        CHECK(runUntil(site.context, [&] { return site.isPhase(0, "isolated"); }));
        const auto refused
            = runOn(site.context,
                    exchangeOnce(entry, http_request("POST", "/v1/services/none/query", "{}"),
                                 millis_clock::now() + call_timeout));
        REQUIRE(refused);
        CHECK(refused->body.find("not_run") != std::string::npos);
        CHECK(refused->body.find("not_ready") != std::string::npos);
        CHECK(site.linesOf("node_isolated") == 1);
        SUBCASE("and takes it again when the store is back")
        {
            site.control(R"({"outage":"none"})");
            CHECK(runUntil(site.context, [&] { return site.isPhase(0, "ready"); }));
        }
    }
    SUBCASE("and a peer keeps it at work through an outage")
    {
        site.start(1);
        REQUIRE(runUntil(site.context, [&] { return site.isPhase(1, "ready"); }));
        REQUIRE(runUntil(site.context, [&] {
            return site.dumpOf(0).at("links").as_array().size() == 1
                && site.dumpOf(1).at("links").as_array().size() == 1;
        }));
        site.control(R"({"outage":"refused"})");
        site.context.run_for(duration(2500));
        CHECK(site.isPhase(0, "ready"));
        CHECK(site.isPhase(1, "ready"));
        SUBCASE("and a new node learns the configuration from a seed peer, but is no member yet")
        {
            const std::int64_t revision = site.revisionAt(0);
            site.start(2);
            CHECK(runUntil(site.context, [&] { return site.revisionAt(2) == revision; }));
            CHECK(site.isPhase(2, "starting"));
            site.control(R"({"outage":"none"})");
            CHECK(runUntil(site.context, [&] { return site.isPhase(2, "ready"); }));
        }
    }
}
