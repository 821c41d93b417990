#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_handler.h"
#include "gooseberrymoor/http/http_server.h"
#include "testing/scripted_peer.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace gooseberrymoor;

namespace {

const endpoint server_address { "127.0.0.1", 18094 };
constexpr std::size_t max_body_bytes = 1024;

// Keeps the bodies of the requests that it gets.
class recording_handler : public http_handler
{
public:
    asio::awaitable<http_reply> handle(http_request request) override
    {
        bodies.push_back(request.body);
        if (onRequest)
            onRequest();
        co_return http_reply(200, request.method);
    }

    std::vector<std::string> bodies;
    std::function<void()> onRequest; // called for each; may be empty
};

// A server of the product, to which tests send bytes.
struct server_fixture
{
    server_fixture() { REQUIRE(server.start(server_address)); }

    // Sends `bytes` on a new connection and returns the first reply.
    std::string replyTo(const std::string &bytes)
    {
        scripted_peer client = scripted_peer::connect(context, server_address);
        client.send({ bytes });
        std::string reply = client.receive();
        client.close();
        scripted_peer::runUntil(context, [this] { return server.openConnections() == 0; });
        return reply;
    }

    asio::io_context context;
    counters events;
    recording_handler handler;
    http_server server { context.get_executor(), handler, events, max_body_bytes };
};

// A request whose body is the text of another one.
std::string requestWithInner(const std::string &fields)
{
    return "POST /outer HTTP/1.1\r\nHost: a\r\n" + fields
        + "\r\n\r\nPOST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against smuggled requests: the body of a request in an unknown transfer coding was run as
// a request of its own.
TEST_CASE("A request whose length is in doubt")
{
    server_fixture server;
    std::string status = "HTTP/1.1 400";
    std::string fields;
    SUBCASE("for a coding other than chunked")
    {
        fields = "Transfer-Encoding: identity";
    }
    SUBCASE("for a coding after chunked")
    {
        fields = "Transfer-Encoding: chunked, identity";
    }
    SUBCASE("for a second chunked")
    {
        fields = "Transfer-Encoding: chunked, chunked";
    }
    SUBCASE("for codings in two fields")
    {
        fields = "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip";
    }
    SUBCASE("for an empty coding")
    {
        fields = "Transfer-Encoding: ";
    }
    SUBCASE("for a folded coding")
    {
        fields = "Transfer-Encoding:\r\n identity";
    }
    SUBCASE("for a coding and a length")
    {
        fields = "Transfer-Encoding: identity\r\nContent-Length: 0";
    }
    SUBCASE("for a length and a coding")
    {
        fields = "Content-Length: 0\r\nTransfer-Encoding: identity";
    }
    SUBCASE("for two lengths")
    {
        fields = "Content-Length: 0\r\nContent-Length: 5";
    }
    SUBCASE("for a length with a sign")
    {
        fields = "Content-Length: +5";
    }
    SUBCASE("for a hexadecimal length")
    {
        fields = "Content-Length: 0x5";
    }
    SUBCASE("for a length of 2^64")
    {
        fields = "Content-Length: 18446744073709551616";
    }
    SUBCASE("for a blank before a colon")
    {
        fields = "Transfer-Encoding : chunked";
    }
    SUBCASE("for a bare line feed")
    {
        fields = "X: y\nTransfer-Encoding: chunked";
    }
    SUBCASE("for a bare carriage return")
    {
        fields = "X: y\rTransfer-Encoding: chunked";
    }
    SUBCASE("for a NUL")
    {
        fields = std::string("Transfer-Encoding: chun\0ked", 26);
    }
    SUBCASE("for a control character")
    {
        fields = "Transfer-Encoding: \x0b"
                 "chunked";
    }
    SUBCASE("and whose end is sure, but whose coding is unknown")
    {
        fields = "Transfer-Encoding: gzip, chunked";
        status = "HTTP/1.1 501";
    }
    const std::string reply = server.replyTo(requestWithInner(fields));
    // It is rejected, and nothing after it is taken for a request.
    CAPTURE(reply);
    CHECK(reply.starts_with(status));
    CHECK(reply.find("Connection: close") != std::string::npos);
    CHECK(reply.find("\"not_run\"") != std::string::npos);
    CHECK(reply.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(server.handler.bodies.empty());
}

TEST_CASE("A request in HTTP/1.0")
{
    server_fixture server;
    SUBCASE("in chunks is rejected, since that version has none")
    {
        const std::string reply = server.replyTo(
            "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n");
        CHECK(reply.starts_with("HTTP/1.1 400"));
        CHECK(server.handler.bodies.empty());
    }
    SUBCASE("with a length is handled")
    {
        server.replyTo("POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\nx");
        CHECK(server.handler.bodies == std::vector<std::string> { "x" });
    }
}

TEST_CASE("A request whose length is sure")
{
    server_fixture server;
    std::string fields;
    SUBCASE("by one length")
    {
        fields = "Content-Length: 5\r\n\r\nhello";
    }
    SUBCASE("by equal lengths")
    {
        fields = "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello";
    }
    SUBCASE("by chunks")
    {
        fields = "Transfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    }
    SUBCASE("by chunks, in a folded field")
    {
        fields = "Transfer-Encoding:\r\n chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    }
    const std::string reply = server.replyTo("POST / HTTP/1.1\r\nHost: a\r\n" + fields);
    CHECK(reply.starts_with("HTTP/1.1 200"));
    CHECK(server.handler.bodies == std::vector<std::string> { "hello" });
}

TEST_CASE("The limits of requests fall while the next request waits")
{
    constexpr std::size_t highLimit = 256 * 1024;
    constexpr std::size_t lowLimit = 1024;
    server_fixture server;
    http_limits limits;
    limits.headerBytes = highLimit;
    server.server.setLimits(limits);
    server.handler.onRequest = [&] {
        limits.headerBytes = lowLimit;
        server.server.setLimits(limits);
    };
    std::string request = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int field = 0; field < 7; ++field)
        request += "X: " + std::string(20'000, 'x') + "\r\n";
    request += "\r\n";
    const std::string next = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;"
        + std::string(100'000, 'x');
    const std::string replies = server.replyTo(request + next);
    CHECK(replies.starts_with("HTTP/1.1 200"));
    CHECK(replies.find("HTTP/1.1 431") != std::string::npos);
    CHECK(server.handler.bodies.size() == 1);
}

// Guards against connections that end without a reply: the HTTP library throws at a field that is
// longer than it can store, which only high limits let through.
TEST_CASE("A field of more than 64 kB")
{
    server_fixture server;
    http_limits limits;
    limits.headerBytes = 256 * 1024;
    server.server.setLimits(limits);
    std::string field(70'000, 'x');
    field.append("\r\n\r\n");
    std::string request;
    SUBCASE("in the header")
    {
        request = "GET / HTTP/1.1\r\nHost: a\r\nX: " + field;
    }
    SUBCASE("in the trailers")
    {
        request
            = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + field;
    }
    CHECK(server.replyTo(request).starts_with("HTTP/1.1 431"));
    CHECK(server.events.value("http_connection_exceptions") == 0);
}
