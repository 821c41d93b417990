#include "gooseberrymoor/http/http_connection.h"

#include "gooseberrymoor/http/operation_deadline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <cerrno>

namespace gooseberrymoor {

namespace {

namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr std::uint64_t most_reply_bytes = 64ULL * 1024 * 1024;
constexpr unsigned http_version_1_1 = 11;

http_failure failureOf(verdict outcome, bool timedOut, const boost::system::error_code &error)
{
    return { outcome, timedOut, timedOut ? "timed out" : error.message() };
}

} // namespace

struct http_connection::implementation
{
    explicit implementation(asio::any_io_executor executor) : socket(executor) { }
    tcp::socket socket;
    beast::flat_buffer buffer;
    std::string host;
};

http_connection::http_connection(asio::any_io_executor executor)
    : m_implementation(std::make_unique<implementation>(std::move(executor)))
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
        co_return tl::unexpected(failureOf(verdict::not_run, limit.hasPassed(), error));
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
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
    message.set(beast::http::field::host, m_implementation->host);
    message.set(beast::http::field::content_type, "application/json");
    message.body() = std::move(request.body);
    message.prepare_payload();

    operation_deadline limit(socket, deadline);
    const auto [writeError, written]
        = co_await beast::http::async_write(socket, message, as_result);
    if (writeError) {
        close();
        const verdict outcome = written == 0 ? verdict::not_run : verdict::may_have_run;
        co_return tl::unexpected(failureOf(outcome, limit.hasPassed(), writeError));
    }
    beast::http::response_parser<beast::http::string_body> parser;
    parser.body_limit(most_reply_bytes);
    const auto [readError, read]
        = co_await beast::http::async_read(socket, m_implementation->buffer, parser, as_result);
    if (readError) {
        close();
        co_return tl::unexpected(failureOf(verdict::may_have_run, limit.hasPassed(), readError));
    }
    auto answer = parser.release();
    if (!answer.keep_alive())
        close();
    co_return http_reply(answer.result_int(), std::move(answer.body()),
                         std::string(answer[beast::http::field::content_type]));
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
