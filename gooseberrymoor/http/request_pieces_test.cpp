#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_handler.h"
#include "gooseberrymoor/http/http_server.h"
#include "testing/scripted_peer.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace gooseberrymoor;

namespace {

const endpoint server_address { "127.0.0.1", 18092 };
constexpr std::size_t max_header_bytes = 4096;
constexpr std::size_t max_body_bytes = 1024;

// Replies with what it has read of a request.
class echo_handler : public http_handler
{
public:
    asio::awaitable<http_reply> handle(http_request request) override
    {
        ++handled;
        std::string text = request.method + " " + request.path + " " + request.body;
        for (const auto &[name, value] : request.headers)
            text += "; " + name + ": " + value;
        co_return http_reply(200, text);
    }

    int handled = 0;
};

// A server of the product, and a client that sends it scripted requests.
class server_fixture
{
public:
    server_fixture()
    {
        http_limits limits;
        limits.headerBytes = max_header_bytes;
        limits.bodyBytes = max_body_bytes;
        m_server.setLimits(limits);
        REQUIRE(m_server.start(server_address));
    }

    // Sends a request on the open connection and returns the reply.
    std::string replyTo(const pieces &request)
    {
        if (!m_client)
            m_client = scripted_peer::connect(m_context, server_address);
        m_client->send(request);
        return m_client->receive();
    }

    // Sends the beginning of a request on a new connection and ends that. Returns whether the
    // server has dropped the connection and handled nothing.
    bool isDropped(const pieces &beginning, bool byReset)
    {
        const int handledBefore = m_handler.handled;
        const std::size_t openBefore = m_server.openConnections();
        scripted_peer client = scripted_peer::connect(m_context, server_address);
        client.send(beginning);
        if (byReset)
            client.reset();
        else
            client.close();
        const bool isClosed = scripted_peer::runUntil(
            m_context, [&] { return m_server.openConnections() == openBefore; });
        return isClosed && m_handler.handled == handledBefore;
    }

    // Sends `beginning`, and then `piece` again and again until the server replies or has got
    // `maxBytes`. Returns its reply.
    std::string replyToEndless(const std::string &beginning, const std::string &piece,
                               std::size_t maxBytes)
    {
        scripted_peer client = scripted_peer::connect(m_context, server_address);
        client.send({ beginning });
        for (std::size_t sent = 0; sent < maxBytes && !client.hasReceived(); sent += piece.size())
            client.send({ piece });
        return client.hasReceived() ? client.receive() : "";
    }

    int handled() const { return m_handler.handled; }
    std::uint64_t exceptions() const { return m_events.value("http_connection_exceptions"); }

private:
    asio::io_context m_context;
    counters m_events;
    echo_handler m_handler;
    http_server m_server { m_context.get_executor(), m_handler, m_events, max_body_bytes };
    std::optional<scripted_peer> m_client;
};

} // namespace

// Guards against processes that end by an assertion: the server gave the HTTP parser the last chunk
// of a request again with fewer bytes than it needs.
TEST_CASE("A request that arrives in pieces")
{
    const std::string chunked = "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string request;

    SUBCASE("without a body")
    {
        request = "GET /p HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n";
    }
    SUBCASE("with a length")
    {
        request = "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
    }
    SUBCASE("in chunks")
    {
        request = chunked + "5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n";
    }
    SUBCASE("in chunks, empty")
    {
        request = chunked + "0\r\n\r\n";
    }
    SUBCASE("in chunks, empty, with leading zeros")
    {
        request = chunked + "0000\r\n\r\n";
    }
    SUBCASE("in chunks, empty, with a trailer")
    {
        request = chunked + "0\r\nT: r\r\n\r\n";
    }
    SUBCASE("in chunks, with extensions and a trailer")
    {
        request = chunked + "2;a=\"b;\"\r\nhe\r\n0;c\r\nT: r\r\n\r\n";
    }
    server_fixture server;
    const std::string whole = server.replyTo({ request });
    CHECK(whole.starts_with("HTTP/1.1 200"));
    const auto cuts = allCuts(request);
    for (const pieces &cut : cuts) {
        const std::string text = toText(cut);
        CAPTURE(text);
        REQUIRE(server.replyTo(cut) == whole);
    }
    CHECK(server.handled() == static_cast<int>(cuts.size()) + 1);
}

TEST_CASE("A request that is broken off")
{
    const std::string chunked = "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string request;
    SUBCASE("with a length")
    {
        request = "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
    }
    SUBCASE("in chunks")
    {
        request = chunked + "5\r\nhello\r\n0\r\n\r\n";
    }
    SUBCASE("in chunks, empty")
    {
        request = chunked + "0\r\n\r\n";
    }
    SUBCASE("in chunks, with extensions and a trailer")
    {
        request = chunked + "2;a=\"b\"\r\nhe\r\n0;c\r\nT: r\r\n\r\n";
    }
    server_fixture server;
    for (std::size_t size = 0; size < request.size(); ++size) {
        const std::string sent = request.substr(0, size);
        CAPTURE(sent);
        CHECK(server.isDropped({ sent }, false));
        CHECK(server.isDropped(byteByByte(sent), false));
        CHECK(server.isDropped(byteByByte(sent), true));
    }
    CHECK(server.replyTo({ request }).starts_with("HTTP/1.1 200"));
    CHECK(server.exceptions() == 0);
}

// Guards against memory that a client fills: the HTTP parser applies its limit of the header to
// what it has not parsed yet, so that fields which came one by one were never too many.
TEST_CASE("A request whose header has no end")
{
    server_fixture server;
    std::string beginning = "GET / HTTP/1.1\r\nHost: a\r\n";
    std::string field;
    SUBCASE("with a field in each segment")
    {
        field = "X: " + std::string(100, 'x') + "\r\n";
    }
    SUBCASE("with a part of a field in each segment")
    {
        field = std::string(100, 'x');
    }
    SUBCASE("with a field and the first letter of the next in each segment")
    {
        beginning += "X";
        field = ": " + std::string(100, 'x') + "\r\nX";
    }
    const std::string reply = server.replyToEndless(beginning, field, 4 * max_header_bytes);
    CHECK(reply.starts_with("HTTP/1.1 431"));
}

// Guards against memory that a client fills: nothing bounded what the server kept of a chunk's
// extension or of the trailers.
TEST_CASE("A chunked request that goes on without content")
{
    server_fixture server;
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string beginning;
    SUBCASE("in an extension")
    {
        beginning = head + "1;";
    }
    SUBCASE("in trailers")
    {
        beginning = head + "0\r\nT: ";
    }
    const std::string reply
        = server.replyToEndless(beginning, std::string(1000, 'x'), 64 * max_header_bytes);
    CHECK(reply.starts_with("HTTP/1.1 431"));
}
