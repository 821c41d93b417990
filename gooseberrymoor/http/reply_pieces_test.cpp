#include "testing/exchange_fixture.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>

using namespace gooseberrymoor;

namespace {

const endpoint server_address { "127.0.0.1", 18091 };
constexpr std::string_view chunked_head
    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n";

std::string describe(const exchange_fixture::result_type &result)
{
    if (!result)
        return "failed";
    std::ostringstream text;
    text << result->status << " " << result->body << " " << result->closeAfter << " "
         << result->hasTrailingBytes << " " << result->keepAliveSeconds;
    for (const auto &[name, value] : result->headers)
        text << "; " << name << ": " << value;
    return text.str();
}

} // namespace

// Guards against processes that end by an assertion: the reader gave the HTTP parser the last chunk
// again with fewer bytes than it needs.
TEST_CASE("A reply that arrives in pieces")
{
    const std::string head(chunked_head);
    std::string reply;
    reply_end end = reply_end::stays_open;

    SUBCASE("with a length")
    {
        reply = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    }
    SUBCASE("with an empty body")
    {
        reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    }
    SUBCASE("without a body")
    {
        reply = "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n";
    }
    SUBCASE("in chunks")
    {
        reply = head + "5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n";
    }
    SUBCASE("in chunks, empty")
    {
        reply = head + "0\r\n\r\n";
    }
    SUBCASE("in chunks, empty, with leading zeros")
    {
        reply = head + "0000\r\n\r\n";
    }
    SUBCASE("in chunks, empty, with a trailer")
    {
        reply = head + "0\r\nT: r\r\n\r\n";
    }
    SUBCASE("in chunks, with extensions and a trailer")
    {
        reply = head + "2;a=\"b;\"\r\nhe\r\n0;c\r\nT: r\r\n\r\n";
    }
    SUBCASE("after an interim reply")
    {
        reply = "HTTP/1.1 100 Continue\r\n\r\n" + head + "1\r\n!\r\n0\r\n\r\n";
    }
    SUBCASE("that ends with its connection")
    {
        reply = "HTTP/1.1 200 OK\r\n\r\nhello";
        end = reply_end::closes;
    }
    exchange_fixture client(server_address);
    const std::string whole = describe(client.exchange({ reply }, end));
    CHECK(whole.starts_with("20"));
    for (const pieces &cut : allCuts(reply)) {
        const std::string text = toText(cut);
        CAPTURE(text);
        CHECK(describe(client.exchange(cut, end)) == whole);
    }
}

// Guards against processes that end by an assertion: a chunked reply ended after the line of its
// last chunk.
TEST_CASE("A reply that is broken off")
{
    const std::string head(chunked_head);
    std::string reply;
    SUBCASE("with a length")
    {
        reply = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    }
    SUBCASE("in chunks")
    {
        reply = head + "5\r\nhello\r\n0\r\n\r\n";
    }
    SUBCASE("in chunks, empty")
    {
        reply = head + "0\r\n\r\n";
    }
    SUBCASE("in chunks, with extensions and a trailer")
    {
        reply = head + "2;a=\"b\"\r\nhe\r\n0;c\r\nT: r\r\n\r\n";
    }
    SUBCASE("after an interim reply")
    {
        reply = "HTTP/1.1 100 X\r\n\r\n" + head + "0\r\n\r\n";
    }
    exchange_fixture client(server_address);
    const auto isLost = [&](const pieces &sent, reply_end end) {
        const auto result = client.exchange(sent, end);
        return !result && result.error().outcome == verdict::may_have_run
            && !result.error().timedOut && !client.isOpen();
    };
    for (std::size_t size = 1; size < reply.size(); ++size) {
        const std::string sent = reply.substr(0, size);
        CAPTURE(sent);
        CHECK(isLost({ sent }, reply_end::closes));
        CHECK(isLost(byteByByte(sent), reply_end::closes));
        CHECK(isLost({ sent }, reply_end::resets));
    }
    CHECK(describe(client.exchange({ reply })).starts_with("200"));
}
