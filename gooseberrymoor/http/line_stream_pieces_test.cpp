#include "gooseberrymoor/http/http_line_stream.h"
#include "testing/scripted_peer.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace gooseberrymoor;

namespace {

const endpoint server_address { "127.0.0.1", 18093 };
constexpr duration stream_timeout { 5000 };

// What a client has read of a stream of lines.
struct read_stream
{
    unsigned status = 0;
    std::vector<std::string> lines;
    bool isAtEnd = false; // of the reply
    bool hasFailed = false;
};

asio::awaitable<void> readAll(read_stream &result)
{
    const time_point deadline = millis_clock::now() + stream_timeout;
    http_line_stream stream(co_await asio::this_coro::executor);
    const auto status = co_await stream.open(server_address, http_request("GET", "/"), deadline);
    result.status = status.value_or(0);
    result.hasFailed = !status;
    while (!result.hasFailed && !result.isAtEnd) {
        const auto line = co_await stream.readLine(deadline);
        result.hasFailed = !line;
        result.isAtEnd = line && !*line;
        if (line && *line)
            result.lines.push_back(**line);
    }
}

// A server that sends scripted replies to clients of the product.
class stream_server
{
public:
    // Sends `reply` to a new client and returns what that has read without further bytes.
    // `closes`: the server closes the connection then.
    read_stream serve(const pieces &reply, bool closes)
    {
        read_stream result;
        bool isDone = false;
        asio::co_spawn(m_context, readAll(result), [&](std::exception_ptr failure) {
            CHECK(!failure);
            isDone = true;
        });
        m_context.restart();
        m_context.poll();
        scripted_peer peer(m_context, m_acceptor.accept());
        REQUIRE(!peer.receive().empty());
        peer.send(reply);
        const read_stream readBeforeEnd = result;
        closes ? peer.close() : peer.reset();
        REQUIRE(scripted_peer::runUntil(m_context, [&] { return isDone; }));
        return closes ? result : readBeforeEnd;
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor {
        m_context, { asio::ip::make_address(server_address.address), server_address.port }
    };
};

const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against processes that end by an assertion: the stream gave the HTTP parser the last chunk
// again with fewer bytes than it needs.
TEST_CASE("A stream of lines that arrives in pieces")
{
    std::string reply;
    std::vector<std::string> lines;
    SUBCASE("a chunk a line")
    {
        reply = chunked_head + "4\r\none\n\r\n4\r\ntwo\n\r\n0\r\n\r\n";
        lines = { "one", "two" };
    }
    SUBCASE("lines across chunks, the last without a newline")
    {
        reply = chunked_head + "5\r\none\nt\r\n3\r\nwo\n\r\n1\r\n3\r\n0\r\n\r\n";
        lines = { "one", "two", "3" };
    }
    SUBCASE("no lines")
    {
        reply = chunked_head + "0\r\n\r\n";
    }
    SUBCASE("no lines, with a trailer")
    {
        reply = chunked_head + "0\r\nT: r\r\n\r\n";
    }
    SUBCASE("with a length")
    {
        reply = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\none\ntwo\n";
        lines = { "one", "two" };
    }
    stream_server server;
    for (const pieces &cut : allCuts(reply)) {
        const std::string text = toText(cut);
        CAPTURE(text);
        const read_stream read = server.serve(cut, false);
        CHECK(read.status == 200);
        CHECK(read.lines == lines);
        CHECK(read.isAtEnd);
    }
}

TEST_CASE("A stream of lines that is broken off")
{
    const std::string reply = chunked_head + "4\r\none\n\r\n4\r\ntwo\n\r\n0\r\n\r\n";
    const std::size_t firstLineEnd = chunked_head.size() + 7;
    const std::size_t secondLineEnd = firstLineEnd + 9;
    stream_server server;
    for (std::size_t size = 0; size < reply.size(); ++size) {
        CAPTURE(size);
        const std::string sent = reply.substr(0, size);
        const std::size_t wholeLines
            = (size >= firstLineEnd ? 1U : 0U) + (size >= secondLineEnd ? 1U : 0U);
        for (const pieces &cut : { pieces { sent }, byteByByte(sent) }) {
            const read_stream read = server.serve(cut, true);
            CHECK(read.hasFailed);
            CHECK(read.lines.size() == wholeLines);
        }
    }
    SUBCASE("has given each whole line before its end")
    {
        const read_stream read = server.serve({ reply.substr(0, firstLineEnd) }, false);
        CHECK(read.lines == std::vector<std::string> { "one" });
    }
}
