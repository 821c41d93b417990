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

constexpr std::size_t most_body = 100'000;
constexpr std::uint16_t server_port = 21100;
constexpr std::uint16_t cutting_port = 21101;
constexpr std::uint16_t closed_port = 21102;
constexpr duration far { 20'000 };
constexpr std::chrono::seconds patience { 20 };
const target_limits limits { 4, 6, 1, duration(0) };

struct answer_box : leaf_reply_sink
{
    void reply(leaf_response response) override
    {
        ++count;
        answer = std::move(response);
    }
    int count = 0;
    leaf_response answer;
};

// Owns every target, and may send as long as `holds`.
struct switched_ownership : target_ownership
{
    bool isOwner(std::string_view) const override { return true; }
    bool maySend(std::string_view, time_point) const override { return holds; }
    bool holds = true;
};

// Runs `context` until `isDone`; false if that does not come about.
bool runUntil(asio::io_context &context, const std::function<bool()> &isDone)
{
    const auto end = std::chrono::steady_clock::now() + patience;
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

leaf_request requestOf(std::uint64_t id, duration timeout = far)
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

// A target that holds each leaf request until it is let go.
class held_target : public http_handler
{
public:
    explicit held_target(asio::any_io_executor executor) : m_changed(std::move(executor)) { }

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
        mostRunning = std::max(mostRunning, ++running);
        const int own = received;
        while (own > letGo)
            co_await m_changed.wait();
        --running;
        co_return http_reply(status, reply);
    }
    bool onConnectionOpened() override
    {
        mostConnections = std::max(mostConnections, ++connections);
        return true;
    }
    void onConnectionClosed() override { --connections; }

    // Lets the first `count` requests go.
    void release(int count)
    {
        letGo = count;
        m_changed.notify();
    }

    unsigned status = 200;
    std::string reply = R"({"request_shard":"a","snapshot":"s1","body":"b","instance":"i1"})";
    std::string health = R"({"instance":"i1"})";
    bool confirmsCancels = true;
    int letGo = 0;
    int received = 0;
    int running = 0;
    int mostRunning = 0;
    int cancels = 0;
    int connections = 0;
    int mostConnections = 0;

private:
    gooseberrymoor::signal m_changed;
};

struct pool_with_target
{
    explicit pool_with_target(target_limits with = limits, std::uint16_t port = server_port)
        : pool(std::make_shared<target_pool>(context.get_executor(), "standings", targetAt(port),
                                             with, ownership, events))
    {
        REQUIRE(server.start({ "127.0.0.1", server_port }));
        pool->open();
    }
    ~pool_with_target()
    {
        pool->close(error_kind::draining);
        target.release(1'000'000);
        server.stopAccepting();
        runUntil(context, [&] { return pool->connections() == 0; });
    }

    std::shared_ptr<answer_box> submit(std::uint64_t id, duration timeout = far)
    {
        auto box = std::make_shared<answer_box>();
        pool->submit("n1", requestOf(id, timeout), box);
        return box;
    }

    bool until(const std::function<bool()> &isDone) { return runUntil(context, isDone); }

    asio::io_context context;
    counters events;
    switched_ownership ownership;
    held_target target { context.get_executor() };
    http_server server { context.get_executor(), target, events, most_body };
    std::shared_ptr<target_pool> pool;
};

// A server that cuts its first connection after some bytes, and serves all later ones.
class cutting_server
{
public:
    cutting_server(asio::io_context &context, std::size_t readBytes, std::string reply,
                   std::size_t replyBytes)
        : m_context(context), m_readBytes(readBytes), m_reply(std::move(reply)),
          m_replyBytes(replyBytes),
          m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), cutting_port))
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

    asio::awaitable<void> serve(tcp::socket socket, bool isCut)
    {
        std::string text;
        std::array<char, 4096> part {};
        while (!isComplete(text)) {
            const std::size_t wanted = isCut ? m_readBytes - text.size() : part.size();
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
        const std::string reply = m_reply.substr(0, isCut ? m_replyBytes : m_reply.size());
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

struct cut_outcome
{
    verdict outcome = verdict::not_run;
    error_kind error = error_kind::none;
    int answers = 0;
    int runs = 0;
};

// Sends one request to a target whose connection is cut.
cut_outcome runCut(std::size_t readBytes, const std::string &reply, std::size_t replyBytes)
{
    asio::io_context context;
    counters events;
    switched_ownership ownership;
    cutting_server server(context, readBytes, reply, replyBytes);
    const auto pool = std::make_shared<target_pool>(
        context.get_executor(), "standings", targetAt(cutting_port), limits, ownership, events);
    pool->open();
    const auto box = std::make_shared<answer_box>();
    pool->submit("n1", requestOf(1), box);
    REQUIRE(runUntil(context, [&] { return box->count > 0; }));
    // Whatever would be sent again would be by now: the cancellation came after it.
    if (box->answer.outcome == verdict::may_have_run)
        REQUIRE(runUntil(context, [&] { return server.cancels() == 1; }));
    pool->close(error_kind::draining);
    context.poll();
    server.stop();
    context.poll();
    return { box->answer.outcome, box->answer.error, box->count, server.leafRequests() };
}

std::string httpReply(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr std::size_t whole = 1'000'000;

} // namespace

TEST_CASE("The link to a target is lost at some byte of a non-idempotent request")
{
    const std::string answered
        = httpReply("200 OK", R"({"request_shard":"a","snapshot":"s1","body":"b"})");
    const std::string shed = httpReply("503 Service Unavailable", R"({"error":"shed"})");

    SUBCASE("while the request is on its way: it may have run")
    {
        for (std::size_t bytes = 0; bytes <= 300; ++bytes) {
            CAPTURE(bytes);
            const cut_outcome cut = runCut(bytes, answered, 0);
            CHECK(cut.outcome == verdict::may_have_run);
            CHECK(cut.error == error_kind::target_lost);
            CHECK(cut.answers == 1);
            CHECK(cut.runs <= 1);
        }
        CHECK(runCut(0, answered, 0).runs == 0);
        CHECK(runCut(300, answered, 0).runs == 1);
    }
    SUBCASE("while the answer is on its way: it may have run, until the answer is whole")
    {
        for (std::size_t bytes = 0; bytes <= answered.size(); ++bytes) {
            CAPTURE(bytes);
            const cut_outcome cut = runCut(whole, answered, bytes);
            const bool isWhole = bytes == answered.size();
            CHECK(cut.outcome == (isWhole ? verdict::completed : verdict::may_have_run));
            CHECK(cut.answers == 1);
            CHECK(cut.runs == 1);
        }
    }
    SUBCASE("while a refusal is on its way: it is not run only if the refusal is whole")
    {
        for (std::size_t bytes = 0; bytes <= shed.size(); ++bytes) {
            CAPTURE(bytes);
            const cut_outcome cut = runCut(whole, shed, bytes);
            const bool isWhole = bytes == shed.size();
            CHECK(cut.outcome == (isWhole ? verdict::not_run : verdict::may_have_run));
            CHECK(cut.answers == 1);
            CHECK(cut.runs == 1);
        }
    }
}

TEST_CASE("Many requests come for a cold target")
{
    pool_with_target site;
    std::vector<std::shared_ptr<answer_box>> boxes;
    for (std::uint64_t id = 1; id <= 8; ++id)
        boxes.push_back(site.submit(id));

    SUBCASE("one is sent, over one connection")
    {
        REQUIRE(site.until([&] { return site.target.received == 1; }));
        CHECK(site.pool->admission().running() == 1);
        CHECK(site.pool->admission().waiting() == 7);
        CHECK(site.pool->connections() == 1);

        SUBCASE("and the others as it answers, and each is answered once")
        {
            site.target.release(8);
            REQUIRE(site.until([&] { return site.pool->isIdle(); }));
            CHECK(site.target.received == 8);
            for (const auto &box : boxes) {
                CHECK(box->count == 1);
                CHECK(box->answer.outcome == verdict::completed);
            }
        }
        SUBCASE("and what waits is withdrawn when it is cancelled")
        {
            site.pool->cancel("n1", 8);
            CHECK(boxes[7]->answer.error == error_kind::cancelled);
            CHECK(boxes[7]->answer.outcome == verdict::not_run);
            CHECK(site.pool->admission().waiting() == 6);
        }
        SUBCASE("and what runs is cancelled at the target, and keeps its slot until it stopped")
        {
            site.pool->cancel("n1", 1);
            REQUIRE(site.until([&] { return site.target.cancels == 1; }));
            CHECK(site.pool->admission().running() == 1);
            CHECK(site.target.received == 1);
        }
        SUBCASE("and the same request again is not sent")
        {
            const auto again = site.submit(1);
            CHECK(again->count == 1);
            CHECK(again->answer.outcome == verdict::may_have_run);
            CHECK(site.pool->admission().waiting() == 7);
        }
        SUBCASE("and this node owns it no more, so the others are refused as not run")
        {
            site.ownership.holds = false;
            site.target.release(8);
            REQUIRE(site.until([&] { return site.pool->isIdle(); }));
            CHECK(site.target.received == 1);
            CHECK(boxes[0]->answer.outcome == verdict::completed);
            for (std::size_t i = 1; i < boxes.size(); ++i) {
                CHECK(boxes[i]->answer.error == error_kind::not_owner);
                CHECK(boxes[i]->answer.outcome == verdict::not_run);
            }
        }
        SUBCASE("and it answers that it drains, so the others are refused as not run")
        {
            site.target.reply = R"({"request_shard":"a","snapshot":"s1","draining":true})";
            site.target.release(1);
            REQUIRE(site.until([&] { return site.pool->isIdle(); }));
            CHECK(site.target.received == 1);
            CHECK(boxes[0]->answer.outcome == verdict::completed);
            for (std::size_t i = 1; i < boxes.size(); ++i) {
                CHECK(boxes[i]->answer.error == error_kind::draining);
                CHECK(boxes[i]->answer.outcome == verdict::not_run);
            }
        }
    }
}

TEST_CASE("A warm target has some connections")
{
    pool_with_target site({ 4, 3, 4, duration(0) });
    site.target.release(1'000'000);
    std::vector<std::shared_ptr<answer_box>> boxes;
    for (std::uint64_t id = 1; id <= 20; ++id)
        boxes.push_back(site.submit(id));
    REQUIRE(site.until([&] { return site.pool->isIdle(); }));

    SUBCASE("never more than its limit, with one left for control")
    {
        CHECK(site.target.mostConnections <= 2);
        CHECK(site.pool->budget().counted(millis_clock::now()) <= 3);
        CHECK(site.target.received == 20);
    }
    SUBCASE("and an idle one serves the next request")
    {
        const int before = site.target.mostConnections;
        const auto next = site.submit(21);
        REQUIRE(site.until([&] { return next->count == 1; }));
        CHECK(next->answer.outcome == verdict::completed);
        CHECK(site.target.mostConnections == before);
    }
}

TEST_CASE("A connection goes silent under a request")
{
    manual_clock clock;
    pool_with_target site({ 2, 6, 2, duration(0) });
    const duration timeout(100);
    const auto lost = site.submit(1, timeout);
    REQUIRE(site.until([&] { return site.target.received == 1; }));

    SUBCASE("and the target confirms that the request stopped")
    {
        clock.advance(timeout);
        REQUIRE(site.until([&] { return lost->count == 1; }));
        CHECK(lost->answer.outcome == verdict::may_have_run);
        CHECK(lost->answer.error == error_kind::timed_out);
        REQUIRE(site.until([&] { return site.pool->admission().lingering() == 0; }));
        CHECK(site.target.cancels == 1);

        SUBCASE("so others are sent over another connection, and the target is not blamed")
        {
            site.target.release(1'000'000);
            const auto next = site.submit(2);
            REQUIRE(site.until([&] { return next->count == 1; }));
            CHECK(next->answer.outcome == verdict::completed);
            CHECK(site.events.value("target_connections_silent") == 1);
            CHECK(site.pool->admission().reason() == admission_reason::new_target);
        }
    }
    SUBCASE("and the target confirms nothing, so the request keeps its slot")
    {
        site.target.confirmsCancels = false;
        clock.advance(timeout);
        REQUIRE(site.until([&] { return lost->count == 1; }));
        CHECK(site.pool->admission().lingering() == 1);
        CHECK(site.pool->mayHaveRunningRequests(millis_clock::now()));
        const auto second = site.submit(2);
        const auto third = site.submit(3);
        REQUIRE(site.until([&] { return site.target.received == 2; }));
        CHECK(site.pool->admission().occupiedSlots() == 2);
        CHECK(site.pool->admission().waiting() == 1);

        SUBCASE("until its deadline at the target has surely passed")
        {
            clock.advance(duration(1000));
            REQUIRE(site.until([&] { return site.target.received == 3; }));
            CHECK(site.pool->admission().lingering() == 0);
        }
    }
}

TEST_CASE("A target reports its health over the control connection")
{
    manual_clock clock;
    pool_with_target site;
    site.target.release(1'000'000);
    const auto pass = [&](duration span) {
        for (duration passed {}; passed < span; passed += duration(1)) {
            site.context.restart();
            site.context.poll();
            clock.advance(duration(1));
        }
    };
    const auto first = site.submit(1);
    pass(duration(50));
    REQUIRE(first->count == 1);

    SUBCASE("that it drains, so it gets nothing more")
    {
        site.target.health = R"({"instance":"i1","draining":true})";
        pass(duration(3100));
        CHECK(site.pool->admission().phase() == admission_phase::draining);
        const auto late = site.submit(2);
        CHECK(late->answer.error == error_kind::draining);
        CHECK(late->answer.outcome == verdict::not_run);

        SUBCASE("until it has said otherwise for a while")
        {
            site.target.health = R"({"instance":"i1","draining":false})";
            pass(duration(3 * 3100));
            CHECK(site.pool->admission().phase() == admission_phase::cold);
            const auto next = site.submit(3);
            pass(duration(50));
            CHECK(next->answer.outcome == verdict::completed);
        }
    }
    SUBCASE("that it is another process, so it is cold")
    {
        for (std::uint64_t id = 2; id < 40; ++id)
            site.submit(id);
        pass(duration(200));
        REQUIRE(site.pool->admission().phase() == admission_phase::warm);
        site.target.health = R"({"instance":"i2"})";
        pass(duration(3100));
        CHECK(site.pool->admission().phase() == admission_phase::cold);
        CHECK(site.pool->admission().reason() == admission_reason::new_instance);
    }
    SUBCASE("with nonsense, which changes nothing")
    {
        const admission_phase before = site.pool->admission().phase();
        site.target.health = "nonsense";
        pass(duration(3100));
        CHECK(site.pool->admission().phase() == before);
    }
}

TEST_CASE("Nobody listens at the address of a target")
{
    pool_with_target site(limits, closed_port);
    const auto first = site.submit(1);
    REQUIRE(site.until([&] { return first->count == 1; }));
    CHECK(first->answer.error == error_kind::target_lost);
    CHECK(first->answer.outcome == verdict::not_run);
    CHECK(site.pool->admission().reason() == admission_reason::unreachable);

    SUBCASE("so the next request is refused at once")
    {
        const auto second = site.submit(2);
        CHECK(second->count == 1);
        CHECK(second->answer.outcome == verdict::not_run);
    }
}

TEST_CASE("Operators change what a node owns")
{
    asio::io_context context;
    counters events;
    held_target target(context.get_executor());
    http_server server(context.get_executor(), target, events, most_body);
    REQUIRE(server.start({ "127.0.0.1", server_port }));
    const switched_ownership ownership;
    target_owner owner(context.get_executor(), ownership, far, events);
    configuration current;
    service_config &service = current.services["standings"];
    service.name = "standings";
    service.limits = limits;
    service.groups = { { "g1", { targetAt(server_port) } } };
    owner.update(current);
    const std::string key = "standings/t1";
    const auto pool = owner.pools().at(key);
    const auto running = std::make_shared<answer_box>();
    const auto waiting = std::make_shared<answer_box>();
    owner.submit("n1", requestOf(1), running);
    owner.submit("n1", requestOf(2), waiting);
    REQUIRE(runUntil(context, [&] { return target.received == 1; }));

    const auto finishes = [&] {
        CHECK(owner.mayHaveRunningRequests(key));
        CHECK(waiting->count == 1);
        CHECK(waiting->answer.error == error_kind::draining);
        CHECK(waiting->answer.outcome == verdict::not_run);
        target.release(10);
        REQUIRE(runUntil(context, [&] { return running->count == 1; }));
        CHECK(running->answer.outcome == verdict::completed);
        CHECK(!owner.mayHaveRunningRequests(key));
        CHECK(target.received == 1);
    };

    SUBCASE("its availability zone is taken out: what runs finishes, what waits is refused")
    {
        current.zonesOut.insert("kl-a");
        owner.update(current);
        finishes();
        const auto late = std::make_shared<answer_box>();
        owner.submit("n1", requestOf(3), late);
        CHECK(late->answer.error == error_kind::draining);
        CHECK(late->answer.outcome == verdict::not_run);

        SUBCASE("and comes back, and its target is cold")
        {
            current.zonesOut.clear();
            owner.update(current);
            CHECK(owner.pools().at(key) == pool);
            CHECK(pool->admission().phase() == admission_phase::cold);
            CHECK(pool->admission().reason() == admission_reason::returned);
            const auto next = std::make_shared<answer_box>();
            owner.submit("n1", requestOf(4), next);
            REQUIRE(runUntil(context, [&] { return next->count == 1; }));
            CHECK(next->answer.outcome == verdict::completed);
        }
    }
    SUBCASE("the target is leaving")
    {
        service.groups[0].targets[0].leaving = true;
        owner.update(current);
        finishes();
    }
    SUBCASE("the target is removed")
    {
        service.groups.clear();
        owner.update(current);
        CHECK(owner.pools().empty());
        finishes();
    }
    SUBCASE("the target is removed and comes back while it runs a request")
    {
        service.groups.clear();
        owner.update(current);
        service.groups = { { "g1", { targetAt(server_port) } } };
        owner.update(current);
        CHECK(owner.pools().at(key) == pool);
        CHECK(pool->admission().running() == 1);
    }
    SUBCASE("limits and version change, and what runs and waits is kept")
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
