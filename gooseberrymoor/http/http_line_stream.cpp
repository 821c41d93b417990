#include "gooseberrymoor/http/http_line_stream.h"

#include "gooseberrymoor/http/message_reader.h"
#include "gooseberrymoor/http/operation_deadline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace gooseberrymoor {

namespace {

namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr unsigned http_version_1_1 = 11;
constexpr std::size_t read_buffer_bytes = 4096;
constexpr std::size_t max_line_bytes = 16 * 1024 * 1024;

http_failure makeFailure(verdict outcome, bool timedOut, const boost::system::error_code &error)
{
    return { outcome, timedOut, timedOut ? "timed out" : error.message() };
}

} // namespace

struct http_line_stream::implementation
{
    explicit implementation(asio::any_io_executor executor) : socket(executor) { }

    // Removes the first complete line from `text`. Once the reply has ended, the rest counts as a
    // line without a newline.
    std::optional<std::string> takeLine()
    {
        const std::size_t end = text.find('\n');
        if (end == std::string::npos && (!parser.isDone() || text.empty()))
            return std::nullopt;
        std::string line = text.substr(0, end);
        text.erase(0, end == std::string::npos ? end : end + 1);
        return line;
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    incremental_parser<beast::http::response_parser<beast::http::buffer_body>> parser;
    std::string text;
};

http_line_stream::http_line_stream(asio::any_io_executor executor)
    : m_implementation(std::make_unique<implementation>(std::move(executor)))
{
    m_implementation->parser.get().body_limit(boost::none);
}

http_line_stream::~http_line_stream() = default;

asio::awaitable<tl::expected<unsigned, http_failure>>
http_line_stream::open(endpoint server, http_request request, time_point deadline)
{
    auto &[socket, buffer, parser, text] = *m_implementation;
    operation_deadline limit(socket, deadline);
    const tcp::endpoint address(asio::ip::make_address(server.address), server.port);
    const auto [connectError] = co_await socket.async_connect(address, as_result);
    if (connectError)
        co_return tl::unexpected(makeFailure(verdict::not_run, limit.hasPassed(), connectError));
    beast::http::request<beast::http::string_body> message;
    message.method_string(request.method);
    message.target(request.path);
    message.version(http_version_1_1);
    message.set(beast::http::field::host, toString(server));
    message.set(beast::http::field::content_type, "application/json");
    message.body() = std::move(request.body);
    message.prepare_payload();
    const auto [writeError, written]
        = co_await beast::http::async_write(socket, message, as_result);
    if (writeError)
        co_return tl::unexpected(makeFailure(verdict::may_have_run, limit.hasPassed(), writeError));
    if (const auto error = co_await readHeader(socket, buffer, parser))
        co_return tl::unexpected(makeFailure(verdict::may_have_run, limit.hasPassed(), error));
    const unsigned status = parser.message().result_int();
    const bool hasNoBody = isReplyWithoutBody(request.method, status);
    const message_framing framing = replyFraming(framingFieldsOf(parser.message()), hasNoBody);
    if (framing.kind == body_framing::refused) {
        const http_failure failure { verdict::may_have_run, false,
                                     std::string(nameOf(framing.fault)) };
        co_return tl::unexpected(failure);
    }
    co_return status;
}

asio::awaitable<tl::expected<std::optional<std::string>, http_failure>>
http_line_stream::readLine(time_point deadline)
{
    auto &[socket, buffer, parser, text] = *m_implementation;
    operation_deadline limit(socket, deadline);
    std::array<char, read_buffer_bytes> chunk {};
    while (true) {
        if (auto line = m_implementation->takeLine())
            co_return line;
        if (parser.isDone())
            co_return std::nullopt;
        auto &body = parser.message().body();
        body.data = chunk.data();
        body.size = chunk.size();
        const auto error = co_await readSome(socket, buffer, parser);
        if (error && error != beast::http::error::need_buffer)
            co_return tl::unexpected(makeFailure(verdict::may_have_run, limit.hasPassed(), error));
        text.append(chunk.data(), chunk.size() - body.size);
        if (text.size() > max_line_bytes) {
            const http_failure tooLong { verdict::may_have_run, false, "line too long" };
            co_return tl::unexpected(tooLong);
        }
    }
}

} // namespace gooseberrymoor
