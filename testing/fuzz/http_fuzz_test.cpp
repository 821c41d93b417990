#include "fuzz_size.h"
#include "mutator.h"

#include "gooseberrymoor/http/incremental_parser.h"
#include "gooseberrymoor/http/message_framing.h"
#include "gooseberrymoor/http/message_reader.h"
#include "testing/pieces.h"

#include <boost/beast/http.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace gooseberrymoor;

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t max_header_bytes = 4096;
constexpr std::uint64_t max_body_bytes = 65536;
constexpr std::size_t max_pieces = 8;

// A message that was read to its end.
struct read_message
{
    std::string header; // start line and fields, with trailers
    std::string body;
    std::size_t bytes = 0; // of the message

    bool operator==(const read_message &) const = default;
};

message_framing framingOf(const http::request<http::string_body> &header)
{
    return requestFraming(framingFieldsOf(header));
}

message_framing framingOf(const http::response<http::string_body> &header)
{
    const bool hasNoBody = isReplyWithoutBody("GET", header.result_int());
    return replyFraming(framingFieldsOf(header), hasNoBody);
}

// Reads one message as the product's readers do, without a network. `Parser` is one of Beast.
template <typename Parser> class message_reading
{
public:
    message_reading()
    {
        m_parser.setHeaderLimit(max_header_bytes);
        m_parser.get().body_limit(max_body_bytes);
        m_parser.get().eager(false);
    }

    // Adds what has arrived.
    void receive(const std::string &piece)
    {
        if (m_hasFailed || m_parser.isDone())
            return;
        const auto space = m_buffer.prepare(piece.size());
        std::copy(piece.begin(), piece.end(), static_cast<char *>(space.data()));
        m_buffer.commit(piece.size());
        m_received += piece.size();
        parse();
    }

    // The message, if all of it has arrived. `isAtEnd`: the connection has ended.
    std::optional<read_message> result(bool isAtEnd)
    {
        if (isAtEnd && !m_hasFailed)
            m_hasFailed = static_cast<bool>(m_parser.parseEnd());
        if (m_hasFailed || !m_parser.isDone())
            return std::nullopt;
        read_message message;
        for (const auto &field : m_parser.message()) {
            message.header.append(field.name_string()).append(": ");
            message.header.append(field.value()).append("\n");
        }
        message.body = m_parser.message().body();
        message.bytes = m_received - m_buffer.size();
        return message;
    }

private:
    void parse()
    {
        while (!m_hasFailed && !m_parser.isDone()) {
            const bool wasHeaderDone = m_parser.isHeaderDone();
            const auto error = m_parser.parse(m_buffer);
            if (error == http::error::need_more)
                return;
            m_hasFailed = static_cast<bool>(error);
            if (!m_hasFailed && !wasHeaderDone && m_parser.isHeaderDone())
                onHeader();
        }
    }

    void onHeader()
    {
        m_hasFailed = framingOf(m_parser.message()).kind == body_framing::refused;
        m_parser.get().eager(true);
    }

    incremental_parser<Parser> m_parser;
    boost::beast::flat_buffer m_buffer;
    std::size_t m_received = 0;
    bool m_hasFailed = false;
};

template <typename Parser> std::optional<read_message> read(const pieces &message)
{
    message_reading<Parser> reading;
    for (const std::string &piece : message)
        reading.receive(piece);
    return reading.result(true);
}

pieces randomPieces(const std::string &message, std::mt19937 &random)
{
    std::vector<std::size_t> cuts { 0, message.size() };
    const std::size_t number = random() % max_pieces;
    for (std::size_t i = 0; i < number && !message.empty(); ++i)
        cuts.push_back(random() % message.size());
    std::sort(cuts.begin(), cuts.end());
    cuts.erase(std::unique(cuts.begin(), cuts.end()), cuts.end());
    pieces parts;
    for (std::size_t i = 0; i + 1 < cuts.size(); ++i)
        parts.push_back(message.substr(cuts[i], cuts[i + 1] - cuts[i]));
    return parts;
}

// Reads mutated messages whole, in random pieces, byte by byte, and broken off. Each must be read
// alike; a broken off one must be a part of the whole only if nothing is missing of it.
template <typename Parser> void fuzzMessages(const std::vector<std::string> &samples)
{
    for (const std::string &each : samples)
        REQUIRE_MESSAGE(read<Parser>({ each }), each);
    const fuzz_size size;
    mutator variants(samples, size.seed);
    std::mt19937 random(size.seed);
    int accepted = 0;
    for (int i = 0; i < size.inputs; ++i) {
        const std::string message = variants.next();
        CAPTURE(message);
        const auto whole = read<Parser>({ message });
        REQUIRE(read<Parser>(randomPieces(message, random)) == whole);
        REQUIRE(read<Parser>(byteByByte(message)) == whole);
        accepted += whole ? 1 : 0;
        if (!whole || whole->bytes == 0)
            continue;
        const std::string beginning = message.substr(0, random() % whole->bytes);
        const auto brokenOff = read<Parser>(byteByByte(beginning));
        REQUIRE((!brokenOff || whole->bytes == message.size()));
    }
    MESSAGE(size.inputs, " inputs, ", accepted, " accepted");
}

const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against messages that are read otherwise, or end the process, when they come in pieces.
TEST_CASE("Malformed HTTP is read the same whole and in pieces")
{
    SUBCASE("as a request")
    {
        const std::string post = "POST /p?q=1 HTTP/1.1\r\nHost: a\r\n";
        fuzzMessages<http::request_parser<http::string_body>>(
            { post + "Content-Length: 5\r\n\r\nhello", post + chunks + "0\r\n\r\n",
              post + chunks + "5;a=\"b;\\\"c\"\r\nhello\r\n1\r\n!\r\n00;d\r\nT: r\r\n\r\n",
              "GET / HTTP/1.0\r\nX:\r\n folded\r\n\r\n" });
    }
    SUBCASE("as a reply")
    {
        const std::string ok = "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n";
        fuzzMessages<http::response_parser<http::string_body>>(
            { ok + "Content-Length: 5\r\n\r\nhello", ok + chunks + "0\r\n\r\n",
              ok + chunks + "5;a=\"b\"\r\nhello\r\n1\r\n!\r\n0;c\r\nT: r\r\n\r\n",
              "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n" });
    }
}
