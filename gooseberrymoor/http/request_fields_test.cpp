#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_handler.h"
#include "gooseberrymoor/http/http_headers.h"
#include "gooseberrymoor/http/http_server.h"
#include "testing/exchange_fixture.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <string>

using namespace gooseberrymoor;

namespace {

const endpoint server_address { "127.0.0.1", 18096 };
constexpr std::size_t max_body_bytes = 1024;

// Keeps the last request and replies with a fixed body.
class recording_handler : public http_handler
{
public:
    asio::awaitable<http_reply> handle(http_request request) override
    {
        ++handled;
        headers = request.headers;
        co_return http_reply(200, "hello");
    }

    int handled = 0;
    http_headers headers;
};

struct server_fixture
{
    server_fixture() { REQUIRE(server.start(server_address)); }

    std::string replyTo(const std::string &bytes)
    {
        if (!client)
            client = scripted_peer::connect(context, server_address);
        client->send({ bytes });
        return client->receive();
    }

    asio::io_context context;
    counters events;
    recording_handler handler;
    http_server server { context.get_executor(), handler, events, max_body_bytes };
    std::optional<scripted_peer> client;
};

} // namespace

// Guards against waiting callers: a HEAD request was answered with a body, which the caller took
// for the beginning of the next reply.
TEST_CASE("A HEAD request")
{
    server_fixture server;
    const std::string reply = server.replyTo("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(reply.starts_with("HTTP/1.1 200"));
    CHECK(reply.find("Content-Length: 5\r\n") != std::string::npos);
    CHECK(reply.ends_with("\r\n\r\n"));
    SUBCASE("is followed by the next request on its connection")
    {
        const std::string next = server.replyTo("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        CHECK(next.starts_with("HTTP/1.1 200"));
        CHECK(next.ends_with("hello"));
    }
}

// Guards against lost places of connections: a TRACE request with a body, which HTTP forbids, ended
// the task of a connection to a target.
TEST_CASE("A method that the server refuses")
{
    server_fixture server;
    std::string request;
    SUBCASE("TRACE")
    {
        request = "TRACE / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
    }
    SUBCASE("CONNECT")
    {
        request = "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n";
    }
    const std::string reply = server.replyTo(request);
    CHECK(reply.starts_with("HTTP/1.1 405"));
    CHECK(reply.find("Allow: GET, HEAD, POST") != std::string::npos);
    CHECK(reply.find("Connection: close") != std::string::npos);
    CHECK(server.handler.handled == 0);
}

TEST_CASE("Fields that apply to one connection")
{
    SUBCASE("of a request aren't forwarded")
    {
        server_fixture server;
        server.replyTo("GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\nY: 2\r\nZ: 3\r\n"
                       "Connection: x, keep-alive\r\nConnection: Y\r\n\r\n");
        CHECK(headerValue(server.handler.headers, "X").empty());
        CHECK(headerValue(server.handler.headers, "Y").empty());
        CHECK(headerValue(server.handler.headers, "Z") == "3");
    }
    SUBCASE("of a reply aren't forwarded")
    {
        exchange_fixture client({ "127.0.0.1", 18097 });
        const auto reply = client.exchange({ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: 1\r\n"
                                             "Y: 2\r\nConnection: X\r\n\r\n" });
        REQUIRE(reply);
        CHECK(headerValue(reply->headers, "X").empty());
        CHECK(headerValue(reply->headers, "Y") == "2");
    }
}
