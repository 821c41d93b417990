#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/http/http_handler.h"
#include "gooseberrymoor/http/http_server.h"
#include "gooseberrymoor/http/refusal.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

constexpr std::size_t small_body = 1024;
constexpr duration patience { 5000 };
const endpoint server_address { "127.0.0.1", 18081 };

class echo_handler : public http_handler
{
public:
    asio::awaitable<http_reply> handle(http_request request) override
    {
        co_return http_reply(200, request.body);
    }
    http_reply refuse(error_kind kind) override { return toReply({ kind, verdict::not_run, "" }); }
};

struct running_server
{
    running_server() { REQUIRE(server.start(server_address)); }

    // Runs `body` to its end.
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
    http_server server { context.get_executor(), handler, events, small_body };
};

} // namespace

TEST_CASE("A server answers over HTTP")
{
    running_server server;
    const time_point deadline = millis_clock::now() + patience;

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
    SUBCASE("and says with its last reply that it closes, once it drains")
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
    SUBCASE("and closes a connection on which no request has begun, once it stops")
    {
        server.run([](time_point until, http_server &stopping) -> asio::awaitable<void> {
            http_connection connection(co_await asio::this_coro::executor);
            CHECK(co_await connection.connect(server_address, until));
            CHECK(co_await connection.exchange({ "POST", "/", "one" }, until));
            stopping.stopAccepting();
        }(deadline, server.server));
        CHECK(server.server.openConnections() == 0);
    }
    SUBCASE("a body that is too large is refused as not run")
    {
        server.run([](time_point until) -> asio::awaitable<void> {
            const auto reply = co_await exchangeOnce(
                server_address, { "POST", "/", std::string(small_body + 1, 'x') }, until);
            CHECK(reply);
            CHECK(reply->status == 413);
            CHECK(reply->body.find("not_run") != std::string::npos);
        }(deadline));
        CHECK(server.events.value("http_too_large") == 1);
    }
    SUBCASE("bytes that are no HTTP are refused and counted")
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

TEST_CASE("A client meets a server that is not there")
{
    asio::io_context context;
    asio::co_spawn(
        context,
        []() -> asio::awaitable<void> {
            const endpoint nobody { "127.0.0.1", 1 };
            const auto reply = co_await exchangeOnce(nobody, http_request("GET", "/"),
                                                     millis_clock::now() + patience);
            CHECK(!reply);
            CHECK(reply.error().outcome == verdict::not_run);
        },
        asio::detached);
    context.run();
}
