#include "gooseberrymoor/http/http_connection.h"

#include "gooseberrymoor/http/byte_reservation.h"
#include "gooseberrymoor/http/end_to_end_headers.h"
#include "gooseberrymoor/http/message_reader.h"
#include "gooseberrymoor/http/operation_deadline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <optional>

namespace gooseberrymoor {

namespace {

namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using response_parser = beast::http::response_parser<beast::http::string_body>;

// Bytes received and not parsed yet. Bounds what no other limit does, such as a chunk's extensions.
constexpr std::size_t max_buffered_bytes = 32ULL * 1024;
constexpr unsigned max_interim_replies = 8; // before the final reply
constexpr unsigned first_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;
constexpr unsigned status_switching_protocols = 101;
constexpr unsigned http_version_1_1 = 11;
// TCP closes a connection whose sent data stays unacknowledged for this long.
constexpr int tcp_user_timeout_ms = 3000;
using tcp_user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

http_failure makeFailure(verdict outcome, bool timedOut, const boost::system::error_code &error)
{
    const bool isTooLarge = error == beast::http::error::body_limit
        || error == beast::http::error::header_limit
        || error == beast::http::error::buffer_overflow;
    return { outcome, timedOut, timedOut ? "timed out" : error.message(), isTooLarge };
}

http_failure tooLarge(std::string reason)
{
    return { verdict::may_have_run, false, std::move(reason), true };
}

http_failure malformed(std::string reason)
{
    return { verdict::may_have_run, false, std::move(reason) };
}

// Why the length of a reply can't be told for sure; nullopt if it can. `parser` has its header.
std::optional<std::string> framingFaultOf(const response_parser &parser, bool hasNoBody)
{
    const message_framing framing = replyFraming(framingFieldsOf(parser.get()), hasNoBody);
    if (framing.kind == body_framing::refused)
        return "reply of doubtful length: " + std::string(nameOf(framing.fault));
    if (!hasNoBody && !isReadAs(framing, parser))
        return "reply of doubtful length";
    return std::nullopt;
}

// Whether a reply may have `status`. A reply with another one is malformed, and where it ends can't
// be told. No request asks for a switch of protocols.
bool isValidStatus(unsigned status)
{
    return status >= first_status && status <= last_status && status != status_switching_protocols;
}

// Returns the timeout in a Keep-Alive header such as "timeout=5, max=100"; 0 if it has none.
int parseKeepAliveTimeout(std::string_view keepAlive)
{
    constexpr std::string_view parameter = "timeout=";
    const std::size_t at = keepAlive.find(parameter);
    if (at == std::string_view::npos)
        return 0;
    int seconds = 0;
    const char *begin = keepAlive.data() + at + parameter.size();
    std::from_chars(begin, keepAlive.data() + keepAlive.size(), seconds);
    return seconds;
}

// The memory that `body` occupies while it grows. Capacity beyond twice its size was reserved for
// its announced length and is not in use yet.
std::size_t memoryOf(const std::string &body)
{
    return std::min(body.capacity(), 2 * body.size());
}

http_reply toReply(beast::http::response<beast::http::string_body> message)
{
    http_reply reply(message.result_int(), std::move(message.body()),
                     std::string(message[beast::http::field::content_type]));
    reply.headers = endToEndHeaders(message, beast::http::field::content_type);
    reply.closeAfter = !message.keep_alive();
    reply.keepAliveSeconds = parseKeepAliveTimeout(message[beast::http::field::keep_alive]);
    return reply;
}

} // namespace

struct http_connection::implementation
{
    implementation(asio::any_io_executor executor, reply_limits replyLimits)
        : socket(executor), limits(std::move(replyLimits))
    {
    }
    tcp::socket socket;
    reply_limits limits;
    beast::flat_buffer buffer { max_buffered_bytes };
    std::string host;
};

http_connection::http_connection(asio::any_io_executor executor, reply_limits limits)
    : m_implementation(std::make_unique<implementation>(std::move(executor), std::move(limits)))
{
}

http_connection::~http_connection() = default;
http_connection::http_connection(http_connection &&) noexcept = default;
http_connection &http_connection::operator=(http_connection &&) noexcept = default;

asio::awaitable<tl::expected<void, http_failure>> http_connection::connect(endpoint server,
                                                                           time_point deadline)
{
    auto &socket = m_implementation->socket;
    m_implementation->buffer.clear();
    m_implementation->host = toString(server);
    const tcp::endpoint address(asio::ip::make_address(server.address), server.port);
    operation_deadline limit(socket, deadline);
    const auto [error] = co_await socket.async_connect(address, as_result);
    if (error) {
        close();
        co_return tl::unexpected(makeFailure(verdict::not_run, limit.hasPassed(), error));
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(tcp_user_timeout(tcp_user_timeout_ms), ignored);
    co_return tl::expected<void, http_failure>();
}

asio::awaitable<tl::expected<http_reply, http_failure>>
http_connection::exchange(http_request request, time_point deadline)
{
    auto &socket = m_implementation->socket;
    if (millis_clock::now() >= deadline)
        co_return tl::unexpected(http_failure { verdict::not_run, true, "timed out" });

    beast::http::request<beast::http::string_body> message;
    message.method_string(request.method);
    message.target(request.path);
    message.version(http_version_1_1);
    message.set(beast::http::field::host,
                request.host.empty() ? m_implementation->host : request.host);
    if (request.headers.empty())
        message.set(beast::http::field::content_type, "application/json");
    for (const auto &[name, value] : request.headers)
        message.insert(name, value);
    message.body() = std::move(request.body);
    message.prepare_payload();

    operation_deadline limit(socket, deadline);
    const auto [writeError, written]
        = co_await beast::http::async_write(socket, message, as_result);
    if (writeError) {
        close();
        const verdict outcome = written == 0 ? verdict::not_run : verdict::may_have_run;
        co_return tl::unexpected(makeFailure(outcome, limit.hasPassed(), writeError));
    }
    auto reply = co_await readReply(request.method, limit);
    if (!reply)
        close();
    co_return reply;
}

asio::awaitable<tl::expected<http_reply, http_failure>>
http_connection::readReply(std::string method, const operation_deadline &limit)
{
    auto &[socket, limits, buffer, host] = *m_implementation;
    for (unsigned interim = 0; interim <= max_interim_replies; ++interim) {
        incremental_parser<response_parser> incremental;
        response_parser &parser = incremental.get();
        parser.skip(method == method_head);
        incremental.setHeaderLimit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        if (const auto error = co_await readHeader(socket, buffer, incremental))
            co_return tl::unexpected(makeFailure(verdict::may_have_run, limit.hasPassed(), error));
        const unsigned status = parser.get().result_int();
        if (!isValidStatus(status))
            co_return tl::unexpected(malformed("invalid status " + std::to_string(status)));
        if (status < first_final_status)
            continue;
        const bool hasNoBody = isReplyWithoutBody(method, status);
        if (const auto fault = framingFaultOf(parser, hasNoBody))
            co_return tl::unexpected(malformed(*fault));
        const auto reservation
            = std::make_shared<byte_reservation>(limits.bodyBudget, limits.freeBodyBytes);
        parser.eager(true);
        while (!incremental.isDone()) {
            if (const auto error = co_await readSome(socket, buffer, incremental))
                co_return tl::unexpected(
                    makeFailure(verdict::may_have_run, limit.hasPassed(), error));
            if (!reservation->growTo(memoryOf(parser.get().body())))
                co_return tl::unexpected(tooLarge("no memory left for the reply"));
        }
        const bool hasExplicitLength = hasNoBody || parser.content_length() || parser.chunked();
        http_reply reply = toReply(parser.release());
        reply.reservation = reservation;
        reply.hasTrailingBytes = buffer.size() > 0;
        if (reply.closeAfter || reply.hasTrailingBytes || !hasExplicitLength)
            close();
        co_return reply;
    }
    co_return tl::unexpected(tooLarge("too many interim replies"));
}

bool http_connection::isOpen() const
{
    return m_implementation->socket.is_open();
}

bool http_connection::isUsable() const
{
    if (!isOpen() || m_implementation->buffer.size() > 0)
        return false;
    char next = 0;
    const auto size = ::recv(m_implementation->socket.native_handle(), &next, sizeof next,
                             MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void http_connection::close()
{
    boost::system::error_code ignored;
    m_implementation->socket.close(ignored);
}

asio::awaitable<tl::expected<http_reply, http_failure>>
exchangeOnce(endpoint server, http_request request, time_point deadline)
{
    http_connection connection(co_await asio::this_coro::executor);
    const auto connected = co_await connection.connect(std::move(server), deadline);
    if (!connected)
        co_return tl::unexpected(connected.error());
    co_return co_await connection.exchange(std::move(request), deadline);
}

} // namespace gooseberrymoor
