#include "testing/exchange_fixture.h"

#include <doctest/doctest.h>

#include <string>

using namespace gooseberrymoor;

namespace {

const endpoint server_address { "127.0.0.1", 18095 };

} // namespace

// Guards against coded or cut bytes that reach a caller as a complete success.
TEST_CASE("A reply whose length is in doubt")
{
    exchange_fixture client(server_address);
    std::string fields;
    std::string body = "1\r\nx\r\n0\r\n\r\n";
    SUBCASE("for a coding other than chunked")
    {
        fields = "Transfer-Encoding: gzip";
    }
    SUBCASE("for a coding before chunked")
    {
        fields = "Transfer-Encoding: gzip, chunked";
    }
    SUBCASE("for a coding after chunked")
    {
        fields = "Transfer-Encoding: chunked, identity";
    }
    SUBCASE("for an empty coding")
    {
        fields = "Transfer-Encoding: ";
    }
    SUBCASE("for a coding and a length")
    {
        fields = "Transfer-Encoding: identity\r\nContent-Length: 1";
        body = "x";
    }
    SUBCASE("for two lengths")
    {
        fields = "Content-Length: 1\r\nContent-Length: 2";
        body = "xy";
    }
    SUBCASE("for a length with a sign")
    {
        fields = "Content-Length: +1";
        body = "x";
    }
    // It is no reply, the request may have run, and the connection isn't used again.
    const auto result = client.exchange({ "HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n" + body },
                                        reply_end::closes);
    REQUIRE(!result);
    CHECK(result.error().outcome == verdict::may_have_run);
    CHECK(!client.isOpen());
}

TEST_CASE("A reply in chunks in HTTP/1.0, which has none, is no reply")
{
    exchange_fixture client(server_address);
    const auto result = client.exchange(
        { "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n" },
        reply_end::closes);
    CHECK(!result);
}

TEST_CASE("A reply without a body")
{
    exchange_fixture client(server_address);
    std::string method = "GET";
    std::string head;
    SUBCASE("to HEAD")
    {
        method = "HEAD";
        head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    }
    SUBCASE("to HEAD, in chunks")
    {
        method = "HEAD";
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    }
    SUBCASE("for 204")
    {
        head = "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n";
    }
    SUBCASE("for 304")
    {
        head = "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n";
    }
    // It ends with its header, whatever that says, and the connection is used again.
    for (int exchange = 0; exchange < 2; ++exchange) {
        const auto result = client.exchange({ head }, reply_end::stays_open, method);
        REQUIRE(result);
        CHECK(result->body.empty());
        CHECK(client.isOpen());
    }
}

TEST_CASE("Bytes after a reply's end")
{
    exchange_fixture client(server_address);
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    SUBCASE("aren't the next reply's, when they come with it")
    {
        const auto first = client.exchange({ reply + "x" + reply + "y" });
        REQUIRE(first);
        CHECK(first->hasTrailingBytes);
        CHECK(!client.isOpen());
    }
    SUBCASE("aren't the next reply's, when they come later")
    {
        client.exchange({ reply + "x", reply + "y" });
        const auto second = client.exchange({ reply + "z" });
        REQUIRE(second);
        CHECK(second->body == "z");
    }
}

// Guards against memory that a target fills: the HTTP parser applies its limit of the header to
// what it has not parsed yet, so that fields which came one by one were never too many.
TEST_CASE("A reply whose header has no end, with a field and a letter in each segment")
{
    constexpr int fields = 1000; // of 100 bytes and more: far above the limit
    exchange_fixture client(server_address);
    pieces reply { "HTTP/1.1 200 OK\r\nX" };
    for (int i = 0; i < fields; ++i)
        reply.push_back(": " + std::string(100, 'x') + "\r\nX");
    reply.push_back(": y\r\nContent-Length: 0\r\n\r\n");
    const auto result = client.exchange(reply);
    REQUIRE(!result);
    CHECK(result.error().isTooLarge);
    CHECK(!client.isOpen());
}
