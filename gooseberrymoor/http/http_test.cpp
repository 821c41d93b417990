#include "gooseberrymoor/base/cancellation.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/http/http_handler.h"
#include "gooseberrymoor/http/http_server.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace gooseberrymoor;

namespace {

constexpr std::size_t max_body_bytes = 1024;
constexpr duration test_timeout { 5000 };
const endpoint server_address { "127.0.0.1", 18081 };

class echo_handler : public http_handler
{
public:
    asio::awaitable<http_reply> handle(http_request request) override
    {
        abandoned += request.abandoned->isCancelled() ? 1 : 0;
        co_return http_reply(200, request.body);
    }

    int abandoned = 0; // requests whose clients had gone when they were read
};

struct running_server
{
    running_server() { REQUIRE(server.start(server_address)); }

    // Runs `body` until it completes.
    void run(asio::awaitable<void> body)
    {
        asio::co_spawn(context, std::move(body), [this](std::exception_ptr failure) {
            CHECK(!failure);
            server.stopAccepting();
        });
        context.run();
    }

    asio::io_context context;
    counters events;
    echo_handler handler;
    http_server server { context.get_executor(), handler, events, max_body_bytes };
};

} // namespace

TEST_CASE("An HTTP server handles requests")
{
    running_server server;
    const time_point deadline = millis_clock::now() + test_timeout;

    SUBCASE("several requests on one connection")
    {
        server.run([](time_point until) -> asio::awaitable<void> {
            http_connection connection(co_await asio::this_coro::executor);
            CHECK(co_await connection.connect(server_address, until));
            for (const char *text : { "one", "two" }) {
                const auto reply = co_await connection.exchange({ "POST", "/", text }, until);
                CHECK(reply);
                CHECK(reply->body == text);
            }
        }(deadline));
    }
    SUBCASE("while draining, it announces with its next reply that it closes the connection")
    {
        server.run([](time_point until, http_server &draining) -> asio::awaitable<void> {
            http_connection connection(co_await asio::this_coro::executor);
            CHECK(co_await connection.connect(server_address, until));
            draining.startDraining();
            const auto reply = co_await connection.exchange({ "POST", "/", "last" }, until);
            CHECK(reply);
            CHECK(reply->body == "last");
            CHECK(!connection.isOpen());
        }(deadline, server.server));
    }
    SUBCASE("when it stops, it closes connections without a request in progress")
    {
        server.run([](time_point until, http_server &stopping) -> asio::awaitable<void> {
            http_connection connection(co_await asio::this_coro::executor);
            CHECK(co_await connection.connect(server_address, until));
            CHECK(co_await connection.exchange({ "POST", "/", "one" }, until));
            stopping.stopAccepting();
        }(deadline, server.server));
        CHECK(server.server.openConnections() == 0);
    }
    SUBCASE("a body that is too large is rejected as not run")
    {
        server.run([](time_point until) -> asio::awaitable<void> {
            const auto reply = co_await exchangeOnce(
                server_address, { "POST", "/", std::string(max_body_bytes + 1, 'x') }, until);
            CHECK(reply);
            CHECK(reply->status == 413);
            CHECK(reply->body.find("not_run") != std::string::npos);
        }(deadline));
        CHECK(server.events.value("http_too_large") == 1);
    }
    SUBCASE("bytes that are not HTTP are rejected and counted")
    {
        server.run([]() -> asio::awaitable<void> {
            asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
            co_await socket.async_connect(
                { asio::ip::make_address(server_address.address), server_address.port },
                asio::use_awaitable);
            const std::string noise = "\x01\x02 noise\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(noise), asio::use_awaitable);
            std::array<char, 256> answer {};
            const std::size_t size
                = co_await socket.async_read_some(asio::buffer(answer), asio::use_awaitable);
            CHECK(std::string(answer.data(), size).find("400") != std::string::npos);
        }());
        CHECK(server.events.value("http_malformed") == 1);
    }
}

TEST_CASE("An HTTP server is busy or stops while clients have just sent requests")
{
    constexpr int clients = 20;
    running_server server;
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none";
    asio::io_context clientContext; // its operations are synchronous
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < clients; ++i) {
        sockets.emplace_back(clientContext);
        sockets.back().connect(
            { asio::ip::make_address(server_address.address), server_address.port });
    }
    const auto sendAll = [&] {
        for (auto &each : sockets)
            asio::write(each, asio::buffer(request));
    };
    // Runs the server until it has closed all connections; returns how many clients have an answer.
    const auto answered = [&] {
        server.context.run();
        int answers = 0;
        for (auto &each : sockets) {
            std::string reply;
            boost::system::error_code error;
            asio::read(each, asio::dynamic_buffer(reply), error);
            answers += reply.ends_with("one") ? 1 : 0;
        }
        return answers;
    };

    SUBCASE("on connections that it has not accepted yet")
    {
        sendAll();
        server.server.stopAccepting();
        CHECK(answered() == clients);
    }
    SUBCASE("on connections that it is accepting")
    {
        sendAll();
        server.context.poll_one();
        server.server.stopAccepting();
        CHECK(answered() == clients);
    }
    SUBCASE("on open connections whose requests it has not read yet")
    {
        server.context.poll();
        sendAll();
        server.server.stopAccepting();
        CHECK(answered() == clients);
    }
    SUBCASE("and learns of clients that have gone before it reads their requests")
    {
        sendAll();
        sockets.clear();
        server.server.stopAccepting();
        server.context.run();
        CHECK(server.handler.abandoned == clients);
    }
    SUBCASE("and accepts all that wait at once when it is busy")
    {
        while (server.server.openConnections() == 0)
            server.context.run_one();
        CHECK(server.server.openConnections() == clients);
        server.server.stopAccepting();
        server.context.run();
    }
    SUBCASE("but does not wait for a connection without a request")
    {
        server.server.stopAccepting();
        const time_point before = millis_clock::now();
        CHECK(answered() == 0);
        CHECK(millis_clock::now() - before < test_timeout);
        CHECK(server.server.openConnections() == 0);
    }
}

TEST_CASE("A client connects to an address without a server")
{
    asio::io_context context;
    asio::co_spawn(
        context,
        []() -> asio::awaitable<void> {
            const endpoint unreachable { "127.0.0.1", 1 };
            const auto reply = co_await exchangeOnce(unreachable, http_request("GET", "/"),
                                                     millis_clock::now() + test_timeout);
            CHECK(!reply);
            CHECK(reply.error().outcome == verdict::not_run);
        },
        asio::detached);
    context.run();
}

namespace {

const endpoint waiting_address { "127.0.0.1", 22020 };

// Replies when the client has disconnected, or after `maxWait`.
class waiting_handler : public http_handler
{
public:
    explicit waiting_handler(asio::any_io_executor executor) : m_wake(std::move(executor)) { }

    asio::awaitable<http_reply> handle(http_request request) override
    {
        const auto abandoned = request.abandoned;
        abandoned->setListener([this] { m_wake.notify(); });
        const time_point until = millis_clock::now() + maxWait;
        started = true;
        while (!abandoned->isCancelled() && millis_clock::now() < until)
            co_await m_wake.wait(until);
        abandoned->setListener({});
        sawDisconnect = abandoned->isCancelled();
        ended = true;
        co_return http_reply(200, "{}");
    }

    duration maxWait = test_timeout;
    bool started = false;
    bool ended = false;
    bool sawDisconnect = false;

private:
    gooseberrymoor::signal m_wake;
};

template <typename Condition> bool runUntil(asio::io_context &context, Condition done)
{
    const time_point limit = millis_clock::now() + test_timeout;
    while (!done() && millis_clock::now() < limit)
        context.run_one_for(duration(20));
    return done();
}

} // namespace

TEST_CASE("A client waits for a slow reply")
{
    asio::io_context context;
    counters events;
    waiting_handler handler(context.get_executor());
    http_server server(context.get_executor(), handler, events, max_body_bytes);
    REQUIRE(server.start(waiting_address));
    asio::ip::tcp::socket client(context);
    client.connect({ asio::ip::make_address(waiting_address.address), waiting_address.port });
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    SUBCASE("disconnecting cancels the request")
    {
        asio::write(client, asio::buffer(request));
        REQUIRE(runUntil(context, [&] { return handler.started; }));
        client.close();
        REQUIRE(runUntil(context, [&] { return handler.ended; }));
        CHECK(handler.sawDisconnect);
    }
    SUBCASE("sending the next request early cancels nothing")
    {
        handler.maxWait = duration(100);
        asio::write(client, asio::buffer(request + request));
        REQUIRE(runUntil(context, [&] { return handler.ended; }));
        CHECK(!handler.sawDisconnect);
        handler.ended = false;
        REQUIRE(runUntil(context, [&] { return handler.ended; }));
        CHECK(!handler.sawDisconnect);
    }
    server.stopAccepting();
    client.close();
    context.run_for(duration(50));
}

namespace {

// Sends `bytes` unchanged and returns what it receives until the server closes the connection.
asio::awaitable<std::string> sendRaw(std::string bytes)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    const asio::ip::tcp::endpoint address(asio::ip::make_address(server_address.address),
                                          server_address.port);
    co_await socket.async_connect(address, as_result);
    co_await asio::async_write(socket, asio::buffer(bytes), as_result);
    std::string received;
    co_await asio::async_read(socket, asio::dynamic_buffer(received), as_result);
    co_return received;
}

} // namespace

TEST_CASE("An HTTP server enforces limits on requests")
{
    running_server server;
    http_limits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = max_body_bytes;
    limits.headerTimeout = duration(150);
    limits.idleTimeout = duration(150);
    server.server.setLimits(limits);
    std::string received;
    const auto sendAndClose = [&](const std::string &bytes) {
        server.run([](std::string text, std::string &result) -> asio::awaitable<void> {
            result = co_await sendRaw(std::move(text));
        }(bytes, received));
    };

    SUBCASE("a header that is too large gets 431, and the connection is closed")
    {
        sendAndClose("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
        CHECK(received.starts_with("HTTP/1.1 431"));
    }
    SUBCASE("a request that takes too long to arrive gets 408")
    {
        sendAndClose("GET / HTTP/1.1\r\nHost: a\r\n");
        CHECK(received.starts_with("HTTP/1.1 408"));
    }
    SUBCASE("bytes that are not HTTP get 400")
    {
        sendAndClose("nonsense\r\n\r\n");
        CHECK(received.starts_with("HTTP/1.1 400"));
    }
    SUBCASE("an idle connection is closed without a reply")
    {
        sendAndClose("");
        CHECK(received.empty());
    }
    SUBCASE("a connection above their number is closed at once")
    {
        limits.connections = 1;
        server.server.setLimits(limits);
        asio::io_context clientContext; // its operations are synchronous
        std::vector<asio::ip::tcp::socket> clients;
        for (int i = 0; i < 2; ++i) {
            clients.emplace_back(clientContext);
            clients.back().connect(
                { asio::ip::make_address(server_address.address), server_address.port });
        }
        server.context.poll();
        CHECK(server.server.openConnections() == 1);
        CHECK(server.events.value("http_connection_refused") == 1);
        std::array<char, 1> byte {};
        boost::system::error_code error;
        clients.back().read_some(asio::buffer(byte), error);
        CHECK(error == asio::error::eof);
        clients.clear();
        server.server.stopAccepting();
        server.context.run();
    }
    SUBCASE("a valid request is handled")
    {
        sendAndClose("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CHECK(received.starts_with("HTTP/1.1 200"));
    }
}
