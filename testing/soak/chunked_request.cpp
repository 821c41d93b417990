#include "chunked_request.h"

#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/http/message_reader.h"
#include "gooseberrymoor/http/operation_deadline.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <random>

namespace gooseberrymoor {

namespace {

namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr duration piece_interval { 2 };
constexpr std::size_t max_piece_bytes = 40; // of the header; the chunks come byte by byte
constexpr std::uint32_t broken_off_one_in = 8;
const std::string empty_chunked_body = "0\r\n\r\n";

asio::awaitable<bool> connect(tcp::socket &socket, endpoint node)
{
    const tcp::endpoint address(asio::ip::make_address(node.address), node.port);
    const auto [error] = co_await socket.async_connect(address, as_result);
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    co_return !error;
}

// Sends `size` bytes of `message`; those from `bodyStart` on one by one.
asio::awaitable<void> sendInPieces(tcp::socket &socket, std::string message, std::size_t size,
                                   std::size_t bodyStart, std::uint32_t seed)
{
    std::minstd_rand random(seed);
    std::size_t sent = 0;
    while (sent < size) {
        const std::size_t drawn = sent < bodyStart ? 1 + random() % max_piece_bytes : 1;
        const std::size_t piece = std::min(drawn, size - sent);
        const auto buffer = asio::buffer(message.data() + sent, piece);
        const auto [error, written] = co_await asio::async_write(socket, buffer, as_result);
        if (error)
            co_return;
        sent += piece;
        timer interval(socket.get_executor(), millis_clock::now() + piece_interval);
        co_await interval.async_wait(as_result);
    }
}

asio::awaitable<std::optional<http_reply>> readReply(tcp::socket &socket)
{
    boost::beast::flat_buffer buffer;
    incremental_parser<http::response_parser<http::string_body>> parser;
    auto error = co_await readHeader(socket, buffer, parser);
    if (!error)
        error = co_await readBody(socket, buffer, parser);
    if (error)
        co_return std::nullopt;
    http_reply reply(parser.message().result_int(), parser.message().body());
    for (const auto &field : parser.message())
        reply.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    co_return reply;
}

} // namespace

bool breaksOff(std::uint32_t seed)
{
    return seed % broken_off_one_in == 0;
}

std::string encodeHead(const http_request &request, const std::string &framing)
{
    std::string head
        = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host + "\r\n";
    for (const auto &[name, value] : request.headers)
        head += name + ": " + value + "\r\n";
    return head + framing + "\r\n\r\n";
}

asio::awaitable<std::optional<http_reply>>
sendChunkedRequest(endpoint node, http_request request, std::uint32_t seed, time_point deadline)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    operation_deadline limit(socket, deadline);
    if (!co_await connect(socket, std::move(node)))
        co_return std::nullopt;
    const std::string head = encodeHead(request, "Transfer-Encoding: chunked");
    const std::string message = head + empty_chunked_body;
    const bool isBrokenOff = breaksOff(seed);
    const std::size_t size = isBrokenOff ? seed % message.size() : message.size();
    co_await sendInPieces(socket, message, size, head.size(), seed);
    if (isBrokenOff)
        co_return std::nullopt;
    co_return co_await readReply(socket);
}

asio::awaitable<int> sendDoubtfulRequest(endpoint node, http_request outer, std::string inner,
                                         time_point deadline)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    operation_deadline limit(socket, deadline);
    int replies = 0;
    if (!co_await connect(socket, std::move(node)))
        co_return replies;
    const std::string message = encodeHead(outer, "Transfer-Encoding: identity") + inner;
    co_await asio::async_write(socket, asio::buffer(message), as_result);
    while (co_await readReply(socket))
        ++replies;
    co_return replies;
}

} // namespace gooseberrymoor
