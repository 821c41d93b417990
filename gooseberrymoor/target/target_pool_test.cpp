#include "gooseberrymoor/target/target_pool.h"

#include "gooseberrymoor/admission/leaf_reply_sink.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/manual_clock.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/http/http_handler.h"
#include "gooseberrymoor/http/http_server.h"
#include "gooseberrymoor/membership/target_ownership.h"
#include "gooseberrymoor/target/target_codec.h"
#include "gooseberrymoor/target/target_owner.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <set>

using namespace gooseberrymoor;

namespace {

using tcp = asio::ip::tcp;

constexpr std::size_t max_body_bytes = 100'000;
constexpr std::uint16_t server_port = 21100;
constexpr std::uint16_t disconnecting_port = 21101;
constexpr std::uint16_t closed_port = 21102;
constexpr duration long_timeout { 20'000 };
constexpr std::chrono::seconds max_wait_time { 20 };
const target_limits limits { 4, 6, 1, duration(0) };

struct recording_sink : leaf_reply_sink
{
    void reply(leaf_response response) override
    {
        ++count;
        lastResponse = std::move(response);
    }
    int count = 0;
    leaf_response lastResponse;
};

// Owns every target. Requests may be sent to them while `isSendAllowed` is true.
struct switched_ownership : target_ownership
{
    bool isOwner(std::string_view) const override { return true; }
    bool maySend(std::string_view, time_point) const override { return isSendAllowed; }
    bool isSendAllowed = true;
};

// Runs `context` until `isDone` returns true; false if it does not within `max_wait_time`.
bool runUntil(asio::io_context &context, const std::function<bool()> &isDone)
{
    const auto end = std::chrono::steady_clock::now() + max_wait_time;
    while (!isDone()) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds(50));
        if (std::chrono::steady_clock::now() > end)
            return false;
    }
    return true;
}

target_config targetAt(std::uint16_t port)
{
    return { "t1", { "127.0.0.1", port }, "kl-a", "v1", false };
}

leaf_request requestOf(std::uint64_t id, duration timeout = long_timeout)
{
    leaf_request request;
    request.id = id;
    request.service = "standings";
    request.target = "t1";
    request.shard = "a";
    request.snapshot = "s1";
    request.idempotent = false;
    request.timeout = timeout;
    request.body = "penalty";
    return request;
}

// A target that answers each leaf request only after its release.
class blocking_target : public http_handler
{
public:
    explicit blocking_target(asio::any_io_executor executor) : m_changed(std::move(executor)) { }

    asio::awaitable<http_reply> handle(http_request request) override
    {
        if (request.path == "/cancel") {
            ++cancels;
            if (!confirmsCancels)
                co_return http_reply(404, "{}");
            co_return http_reply(200, R"({"stopped":true})");
        }
        if (request.path == "/health")
            co_return http_reply(200, health);
        if (request.path != "/leaf")
            co_return http_reply(404, "{}");
        ++received;
        maxRunning = std::max(maxRunning, ++running);
        const int number = received;
        while (number > releasedCount)
            co_await m_changed.wait();
        --running;
        co_return http_reply(status, reply);
    }
    bool onConnectionOpened() override
    {
        maxConnections = std::max(maxConnections, ++connections);
        return true;
    }
    void onConnectionClosed() override { --connections; }

    // Releases the first `count` leaf requests.
    void release(int count)
    {
        releasedCount = count;
        m_changed.notify();
    }

    unsigned status = 200;
    std::string reply = R"({"request_shard":"a","snapshot":"s1","body":"b","instance":"i1"})";
    std::string health = R"({"instance":"i1"})";
    bool confirmsCancels = true;
    int releasedCount = 0;
    int received = 0;
    int running = 0;
    int maxRunning = 0;
    int cancels = 0;
    int connections = 0;
    int maxConnections = 0;

private:
    gooseberrymoor::signal m_changed;
};

struct pool_fixture
{
    explicit pool_fixture(target_limits poolLimits = limits, std::uint16_t port = server_port)
        : pool(std::make_shared<target_pool>(context.get_executor(), "standings", targetAt(port),
                                             poolLimits, ownership, events))
    {
        REQUIRE(server.start({ "127.0.0.1", server_port }));
        pool->open();
    }
    ~pool_fixture()
    {
        pool->close(error_kind::draining);
        target.release(1'000'000);
        server.stopAccepting();
        runUntil(context, [&] { return pool->connectionCount() == 0; });
    }

    std::shared_ptr<recording_sink> submit(std::uint64_t id, duration timeout = long_timeout)
    {
        auto sink = std::make_shared<recording_sink>();
        pool->submit("n1", requestOf(id, timeout), sink);
        return sink;
    }

    bool waitUntil(const std::function<bool()> &isDone) { return runUntil(context, isDone); }

    asio::io_context context;
    counters events;
    switched_ownership ownership;
    blocking_target target { context.get_executor() };
    http_server server { context.get_executor(), target, events, max_body_bytes };
    std::shared_ptr<target_pool> pool;
};

// A server that closes its first connection after a given number of bytes and serves all later
// ones.
class disconnecting_server
{
public:
    disconnecting_server(asio::io_context &context, std::size_t readBytes, std::string reply,
                         std::size_t replyBytes)
        : m_context(context), m_readBytes(readBytes), m_reply(std::move(reply)),
          m_replyBytes(replyBytes),
          m_acceptor(context,
                     tcp::endpoint(asio::ip::make_address("127.0.0.1"), disconnecting_port))
    {
        startTask(context.get_executor(), m_events, "accept", accept());
    }
    void stop() { m_acceptor.close(); }
    int leafRequests() const { return m_leafRequests; }
    int cancels() const { return m_cancels; }

private:
    asio::awaitable<void> accept()
    {
        for (bool isFirst = true; m_acceptor.is_open(); isFirst = false) {
            auto [error, socket] = co_await m_acceptor.async_accept(as_result);
            if (error)
                co_return;
            startTask(m_context.get_executor(), m_events, "serve",
                      serve(std::move(socket), isFirst));
        }
    }

    asio::awaitable<void> serve(tcp::socket socket, bool closesEarly)
    {
        std::string text;
        std::array<char, 4096> part {};
        while (!isComplete(text)) {
            const std::size_t wanted = closesEarly ? m_readBytes - text.size() : part.size();
            if (wanted == 0)
                co_return;
            const auto [error, size] = co_await socket.async_read_some(
                asio::buffer(part.data(), std::min(wanted, part.size())), as_result);
            if (error)
                co_return;
            text.append(part.data(), size);
        }
        if (text.starts_with("POST /leaf"))
            ++m_leafRequests;
        if (text.starts_with("POST /cancel"))
            ++m_cancels;
        const std::string reply = m_reply.substr(0, closesEarly ? m_replyBytes : m_reply.size());
        co_await asio::async_write(socket, asio::buffer(reply), as_result);
    }

    static bool isComplete(const std::string &text)
    {
        const std::size_t head = text.find("\r\n\r\n");
        return head != std::string::npos && text.size() > head + 4 && text.back() == '}';
    }

    asio::io_context &m_context;
    std::size_t m_readBytes;
    std::string m_reply;
    std::size_t m_replyBytes;
    counters m_events;
    tcp::acceptor m_acceptor;
    int m_leafRequests = 0;
    int m_cancels = 0;
};

// Result of a request whose connection was closed early, with the number of responses and of leaf
// requests that the target received.
struct interrupted_result
{
    verdict outcome = verdict::not_run;
    error_kind error = error_kind::none;
    int responseCount = 0;
    int leafRequestCount = 0;
};

// Sends one request to a target that closes the connection after reading `readBytes` or writing
// `replyBytes`.
interrupted_result runInterrupted(std::size_t readBytes, const std::string &reply,
                                  std::size_t replyBytes)
{
    asio::io_context context;
    counters events;
    switched_ownership ownership;
    disconnecting_server server(context, readBytes, reply, replyBytes);
    const auto pool
        = std::make_shared<target_pool>(context.get_executor(), "standings",
                                        targetAt(disconnecting_port), limits, ownership, events);
    pool->open();
    const auto sink = std::make_shared<recording_sink>();
    pool->submit("n1", requestOf(1), sink);
    REQUIRE(runUntil(context, [&] { return sink->count > 0; }));
    // If the pool attempted the request again, it would do so before it sends the cancellation. So
    // no further attempt can follow once the cancellation has arrived.
    if (sink->lastResponse.outcome == verdict::may_have_run)
        REQUIRE(runUntil(context, [&] { return server.cancels() == 1; }));
    pool->close(error_kind::draining);
    context.poll();
    server.stop();
    context.poll();
    return { sink->lastResponse.outcome, sink->lastResponse.error, sink->count,
             server.leafRequests() };
}

std::string httpReply(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr std::size_t all_bytes = 1'000'000;
// The encoded request is shorter than this.

} // namespace

TEST_CASE("The connection to a target is lost after any byte of a non-idempotent request")
{
    const std::string answered
        = httpReply("200 OK", R"({"request_shard":"a","snapshot":"s1","body":"b"})");
    const std::string shed = httpReply("503 Service Unavailable", R"({"error":"shed"})");

    SUBCASE("while the request is being sent, so it may have run")
    {
        for (std::size_t bytes = 0; bytes <= 300; ++bytes) {
            CAPTURE(bytes);
            const interrupted_result result = runInterrupted(bytes, answered, 0);
            CHECK(result.outcome == verdict::may_have_run);
            CHECK(result.error == error_kind::target_lost);
            CHECK(result.responseCount == 1);
            CHECK(result.leafRequestCount <= 1);
        }
        CHECK(runInterrupted(0, answered, 0).leafRequestCount == 0);
        CHECK(runInterrupted(300, answered, 0).leafRequestCount == 1);
    }
    SUBCASE("while the answer is being received, so it may have run unless the answer is complete")
    {
        for (std::size_t bytes = 0; bytes <= answered.size(); ++bytes) {
            CAPTURE(bytes);
            const interrupted_result result = runInterrupted(all_bytes, answered, bytes);
            const bool isComplete = bytes == answered.size();
            CHECK(result.outcome == (isComplete ? verdict::completed : verdict::may_have_run));
            CHECK(result.responseCount == 1);
            CHECK(result.leafRequestCount == 1);
        }
    }
    SUBCASE("while a refusal is being received, so it has not run only if the refusal is complete")
    {
        for (std::size_t bytes = 0; bytes <= shed.size(); ++bytes) {
            CAPTURE(bytes);
            const interrupted_result result = runInterrupted(all_bytes, shed, bytes);
            const bool isComplete = bytes == shed.size();
            CHECK(result.outcome == (isComplete ? verdict::not_run : verdict::may_have_run));
            CHECK(result.responseCount == 1);
            CHECK(result.leafRequestCount == 1);
        }
    }
}

TEST_CASE("Many requests arrive for a cold target")
{
    pool_fixture fixture;
    std::vector<std::shared_ptr<recording_sink>> sinks;
    for (std::uint64_t id = 1; id <= 8; ++id)
        sinks.push_back(fixture.submit(id));

    SUBCASE("and one is sent, over one connection")
    {
        REQUIRE(fixture.waitUntil([&] { return fixture.target.received == 1; }));
        CHECK(fixture.pool->admission().running() == 1);
        CHECK(fixture.pool->admission().waiting() == 7);
        CHECK(fixture.pool->connectionCount() == 1);

        SUBCASE("and the others follow as it answers, and each gets one response")
        {
            fixture.target.release(8);
            REQUIRE(fixture.waitUntil([&] { return fixture.pool->isIdle(); }));
            CHECK(fixture.target.received == 8);
            for (const auto &sink : sinks) {
                CHECK(sink->count == 1);
                CHECK(sink->lastResponse.outcome == verdict::completed);
            }
        }
        SUBCASE("and a queued request is withdrawn when it is cancelled")
        {
            fixture.pool->cancel("n1", 8);
            CHECK(sinks[7]->lastResponse.error == error_kind::cancelled);
            CHECK(sinks[7]->lastResponse.outcome == verdict::not_run);
            CHECK(fixture.pool->admission().waiting() == 6);
        }
        SUBCASE("and a cancelled running request keeps its slot until the target stops it")
        {
            fixture.pool->cancel("n1", 1);
            REQUIRE(fixture.waitUntil([&] { return fixture.target.cancels == 1; }));
            CHECK(fixture.pool->admission().running() == 1);
            CHECK(fixture.target.received == 1);
        }
        SUBCASE("and a duplicate request is not sent")
        {
            const auto again = fixture.submit(1);
            CHECK(again->count == 1);
            CHECK(again->lastResponse.outcome == verdict::may_have_run);
            CHECK(fixture.pool->admission().waiting() == 7);
        }
        SUBCASE("and this node no longer owns the target, so the others are refused as not run")
        {
            fixture.ownership.isSendAllowed = false;
            fixture.target.release(8);
            REQUIRE(fixture.waitUntil([&] { return fixture.pool->isIdle(); }));
            CHECK(fixture.target.received == 1);
            CHECK(sinks[0]->lastResponse.outcome == verdict::completed);
            for (std::size_t i = 1; i < sinks.size(); ++i) {
                CHECK(sinks[i]->lastResponse.error == error_kind::not_owner);
                CHECK(sinks[i]->lastResponse.outcome == verdict::not_run);
            }
        }
        SUBCASE("and it reports that it is draining, so the others are refused as not run")
        {
            fixture.target.reply = R"({"request_shard":"a","snapshot":"s1","draining":true})";
            fixture.target.release(1);
            REQUIRE(fixture.waitUntil([&] { return fixture.pool->isIdle(); }));
            CHECK(fixture.target.received == 1);
            CHECK(sinks[0]->lastResponse.outcome == verdict::completed);
            for (std::size_t i = 1; i < sinks.size(); ++i) {
                CHECK(sinks[i]->lastResponse.error == error_kind::draining);
                CHECK(sinks[i]->lastResponse.outcome == verdict::not_run);
            }
        }
    }
}

TEST_CASE("A warm target is sent requests over several connections")
{
    pool_fixture fixture({ 4, 3, 4, duration(0) });
    fixture.target.release(1'000'000);
    std::vector<std::shared_ptr<recording_sink>> sinks;
    for (std::uint64_t id = 1; id <= 20; ++id)
        sinks.push_back(fixture.submit(id));
    REQUIRE(fixture.waitUntil([&] { return fixture.pool->isIdle(); }));

    SUBCASE("but never more than its limit, with one reserved for control")
    {
        CHECK(fixture.target.maxConnections <= 2);
        CHECK(fixture.pool->budget().totalCount(millis_clock::now()) <= 3);
        CHECK(fixture.target.received == 20);
    }
    SUBCASE("and an idle one is reused for the next request")
    {
        const int before = fixture.target.maxConnections;
        const auto next = fixture.submit(21);
        REQUIRE(fixture.waitUntil([&] { return next->count == 1; }));
        CHECK(next->lastResponse.outcome == verdict::completed);
        CHECK(fixture.target.maxConnections == before);
    }
}

TEST_CASE("A connection stops responding while a request runs")
{
    manual_clock clock;
    pool_fixture fixture({ 2, 6, 2, duration(0) });
    const duration timeout(100);
    const auto lost = fixture.submit(1, timeout);
    REQUIRE(fixture.waitUntil([&] { return fixture.target.received == 1; }));

    SUBCASE("and the slot becomes free when the target confirms that the request stopped")
    {
        clock.advance(timeout);
        REQUIRE(fixture.waitUntil([&] { return lost->count == 1; }));
        CHECK(lost->lastResponse.outcome == verdict::may_have_run);
        CHECK(lost->lastResponse.error == error_kind::timed_out);
        REQUIRE(fixture.waitUntil([&] { return fixture.pool->admission().lingering() == 0; }));
        CHECK(fixture.target.cancels == 1);

        SUBCASE("so other requests use another connection, and the admission state does not change")
        {
            fixture.target.release(1'000'000);
            const auto next = fixture.submit(2);
            REQUIRE(fixture.waitUntil([&] { return next->count == 1; }));
            CHECK(next->lastResponse.outcome == verdict::completed);
            CHECK(fixture.events.value("target_connections_silent") == 1);
            CHECK(fixture.pool->admission().reason() == admission_reason::new_target);
        }
    }
    SUBCASE("and the target does not confirm it, so the request keeps its slot")
    {
        fixture.target.confirmsCancels = false;
        clock.advance(timeout);
        REQUIRE(fixture.waitUntil([&] { return lost->count == 1; }));
        CHECK(fixture.pool->admission().lingering() == 1);
        CHECK(fixture.pool->mayHaveRunningRequests(millis_clock::now()));
        const auto second = fixture.submit(2);
        const auto third = fixture.submit(3);
        REQUIRE(fixture.waitUntil([&] { return fixture.target.received == 2; }));
        CHECK(fixture.pool->admission().occupiedSlots() == 2);
        CHECK(fixture.pool->admission().waiting() == 1);

        SUBCASE("until its deadline and the maximum transit time have passed")
        {
            clock.advance(duration(1000));
            REQUIRE(fixture.waitUntil([&] { return fixture.target.received == 3; }));
            CHECK(fixture.pool->admission().lingering() == 0);
        }
    }
}

TEST_CASE("A target reports its health over the control connection")
{
    manual_clock clock;
    pool_fixture fixture;
    fixture.target.release(1'000'000);
    const auto advanceClock = [&](duration span) {
        for (duration passed {}; passed < span; passed += duration(1)) {
            fixture.context.restart();
            fixture.context.poll();
            clock.advance(duration(1));
        }
    };
    const auto first = fixture.submit(1);
    advanceClock(duration(50));
    REQUIRE(first->count == 1);

    SUBCASE("that it is draining, so it gets no more requests")
    {
        fixture.target.health = R"({"instance":"i1","draining":true})";
        advanceClock(duration(3100));
        CHECK(fixture.pool->admission().phase() == admission_phase::draining);
        const auto late = fixture.submit(2);
        CHECK(late->lastResponse.error == error_kind::draining);
        CHECK(late->lastResponse.outcome == verdict::not_run);

        SUBCASE("until it has reported otherwise for some time")
        {
            fixture.target.health = R"({"instance":"i1","draining":false})";
            advanceClock(duration(3 * 3100));
            CHECK(fixture.pool->admission().phase() == admission_phase::cold);
            const auto next = fixture.submit(3);
            advanceClock(duration(50));
            CHECK(next->lastResponse.outcome == verdict::completed);
        }
    }
    SUBCASE("that it is another instance, so it is cold")
    {
        for (std::uint64_t id = 2; id < 40; ++id)
            fixture.submit(id);
        advanceClock(duration(200));
        REQUIRE(fixture.pool->admission().phase() == admission_phase::warm);
        fixture.target.health = R"({"instance":"i2"})";
        advanceClock(duration(3100));
        CHECK(fixture.pool->admission().phase() == admission_phase::cold);
        CHECK(fixture.pool->admission().reason() == admission_reason::new_instance);
    }
    SUBCASE("in a malformed reply, which changes nothing")
    {
        const admission_phase before = fixture.pool->admission().phase();
        fixture.target.health = "nonsense";
        advanceClock(duration(3100));
        CHECK(fixture.pool->admission().phase() == before);
    }
}

TEST_CASE("Nothing listens at the address of a target")
{
    pool_fixture fixture(limits, closed_port);
    const auto first = fixture.submit(1);
    REQUIRE(fixture.waitUntil([&] { return first->count == 1; }));
    CHECK(first->lastResponse.error == error_kind::target_lost);
    CHECK(first->lastResponse.outcome == verdict::not_run);
    CHECK(fixture.pool->admission().reason() == admission_reason::unreachable);

    SUBCASE("so the next request is refused immediately")
    {
        const auto second = fixture.submit(2);
        CHECK(second->count == 1);
        CHECK(second->lastResponse.outcome == verdict::not_run);
    }
}

TEST_CASE("Operators change the targets that a node owns")
{
    asio::io_context context;
    counters events;
    blocking_target target(context.get_executor());
    http_server server(context.get_executor(), target, events, max_body_bytes);
    REQUIRE(server.start({ "127.0.0.1", server_port }));
    const switched_ownership ownership;
    target_owner owner(context.get_executor(), ownership, long_timeout, events);
    configuration current;
    service_config &service = current.services["standings"];
    service.name = "standings";
    service.limits = limits;
    service.groups = { { "g1", { targetAt(server_port) } } };
    owner.update(current);
    const std::string key = "standings/t1";
    const auto pool = owner.pools().at(key);
    const auto running = std::make_shared<recording_sink>();
    const auto waiting = std::make_shared<recording_sink>();
    owner.submit("n1", requestOf(1), running);
    owner.submit("n1", requestOf(2), waiting);
    REQUIRE(runUntil(context, [&] { return target.received == 1; }));

    const auto checkDraining = [&] {
        CHECK(owner.mayHaveRunningRequests(key));
        CHECK(waiting->count == 1);
        CHECK(waiting->lastResponse.error == error_kind::draining);
        CHECK(waiting->lastResponse.outcome == verdict::not_run);
        target.release(10);
        REQUIRE(runUntil(context, [&] { return running->count == 1; }));
        CHECK(running->lastResponse.outcome == verdict::completed);
        CHECK(!owner.mayHaveRunningRequests(key));
        CHECK(target.received == 1);
    };

    SUBCASE("by taking an availability zone out: running requests finish, queued ones are refused")
    {
        current.zonesOut.insert("kl-a");
        owner.update(current);
        checkDraining();
        const auto late = std::make_shared<recording_sink>();
        owner.submit("n1", requestOf(3), late);
        CHECK(late->lastResponse.error == error_kind::draining);
        CHECK(late->lastResponse.outcome == verdict::not_run);

        SUBCASE("and returning it to service, after which its target is cold")
        {
            current.zonesOut.clear();
            owner.update(current);
            CHECK(owner.pools().at(key) == pool);
            CHECK(pool->admission().phase() == admission_phase::cold);
            CHECK(pool->admission().reason() == admission_reason::returned);
            const auto next = std::make_shared<recording_sink>();
            owner.submit("n1", requestOf(4), next);
            REQUIRE(runUntil(context, [&] { return next->count == 1; }));
            CHECK(next->lastResponse.outcome == verdict::completed);
        }
    }
    SUBCASE("by marking a target as leaving: running requests finish, queued ones are refused")
    {
        service.groups[0].targets[0].leaving = true;
        owner.update(current);
        checkDraining();
    }
    SUBCASE("by removing a target: running requests finish, queued ones are refused")
    {
        service.groups.clear();
        owner.update(current);
        CHECK(owner.pools().empty());
        checkDraining();
    }
    SUBCASE("by removing a target and adding it again: it keeps its pool and its running request")
    {
        service.groups.clear();
        owner.update(current);
        service.groups = { { "g1", { targetAt(server_port) } } };
        owner.update(current);
        CHECK(owner.pools().at(key) == pool);
        CHECK(pool->admission().running() == 1);
    }
    SUBCASE("by changing limits and version, which keeps running and queued requests")
    {
        service.limits = { 2, 4, 1, duration(10) };
        service.groups[0].targets[0].version = "v2";
        owner.update(current);
        CHECK(owner.pools().at(key) == pool);
        CHECK(pool->admission().limits() == service.limits);
        CHECK(pool->admission().running() == 1);
        CHECK(pool->admission().waiting() == 1);
        CHECK(waiting->count == 0);
    }
    owner.stop();
    target.release(1'000'000);
    server.stopAccepting();
    CHECK(runUntil(context, [&] { return owner.isIdle(); }));
}
