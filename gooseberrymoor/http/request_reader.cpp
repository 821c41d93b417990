#include "gooseberrymoor/http/request_reader.h"

#include "gooseberrymoor/http/end_to_end_headers.h"
#include "gooseberrymoor/http/message_framing.h"
#include "gooseberrymoor/http/message_reader.h"
#include "gooseberrymoor/http/operation_deadline.h"
#include "gooseberrymoor/http/read_timeout.h"

#include <boost/beast/http.hpp>

#include <algorithm>

namespace gooseberrymoor {

namespace {

namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using message = http::request<http::string_body>;

// Bytes received and not parsed yet, beside a header. Bounds what no other limit does, such as a
// chunk's extension.
constexpr std::size_t max_buffered_bytes = 32ULL * 1024;
constexpr duration no_limit { 24 * 3'600'000 }; // used as the timeout if a limit is 0

http_request toRequest(message received)
{
    http_request request(std::string(received.method_string()), std::string(received.target()),
                         std::move(received.body()));
    request.host = std::string(received[http::field::host]);
    request.headers = endToEndHeaders(received, http::field::host);
    return request;
}

// Whether a server without tunnels and diagnostics refuses `method`.
bool isRefusedMethod(http::verb method)
{
    return method == http::verb::connect || method == http::verb::trace;
}

// Rejects a request whose length can't be told for sure, or that `parser` would read in another
// way.
void checkFraming(const http::request_parser<http::string_body> &parser, received_request &result)
{
    const message_framing framing = requestFraming(framingFieldsOf(parser.get()));
    if (framing.kind != body_framing::refused && isReadAs(framing, parser))
        return;
    result.error = framing.fault == framing_fault::unknown_coding ? error_kind::not_implemented
                                                                  : error_kind::bad_request;
    result.detail = nameOf(framing.fault);
}

error_kind errorKindOf(const boost::system::error_code &error)
{
    if (error == http::error::body_limit)
        return error_kind::too_large;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return error_kind::header_too_large;
    return error_kind::bad_request;
}

bool isEndOfConnection(const boost::system::error_code &error)
{
    return error == http::error::end_of_stream || error == asio::error::connection_reset
        || error == asio::error::operation_aborted || error == asio::error::eof
        || error == asio::error::bad_descriptor;
}

} // namespace

// Whether any byte of a request has been received, also if it has not been read yet.
bool request_reader::hasRequest() const
{
    boost::system::error_code ignored;
    return m_buffer.size() > 0 || (m_parser && m_parser->get().got_some())
        || m_socket.available(ignored) > 0;
}

void request_reader::closeIfIdle()
{
    boost::system::error_code ignored;
    if (!hasRequest())
        m_socket.close(ignored);
}

// Returns false if the connection ended or stayed idle for too long.
asio::awaitable<bool> request_reader::waitForFirstByte(duration idleTimeout)
{
    if (m_buffer.size() > 0)
        co_return true;
    operation_deadline limit(m_socket, millis_clock::now() + idleTimeout);
    const auto [error] = co_await m_socket.async_wait(tcp::socket::wait_read, as_result);
    co_return !error && !limit.hasPassed();
}

// Reads the header, and then the body unless the header is refused.
asio::awaitable<boost::system::error_code> request_reader::readMessage(received_request &result)
{
    boost::system::error_code error = co_await readHeader(m_socket, m_buffer, *m_parser);
    if (error)
        co_return error;
    checkFraming(m_parser->get(), result);
    if (result.error == error_kind::none && isRefusedMethod(m_parser->message().method()))
        result.error = error_kind::method_not_allowed;
    if (result.error == error_kind::none && !m_parser->isDone())
        error = co_await readBody(m_socket, m_buffer, *m_parser);
    co_return error;
}

asio::awaitable<received_request> request_reader::read(http_limits limits, duration idleTimeout)
{
    received_request result;
    m_parser.emplace();
    // It may hold more than that already, if the limits have changed.
    m_buffer.max_size(std::max(m_buffer.size(), limits.headerBytes + max_buffered_bytes));
    m_parser->get().body_limit(limits.bodyBytes);
    m_parser->setHeaderLimit(static_cast<std::uint32_t>(limits.headerBytes));
    result.isConnectionDone = !co_await waitForFirstByte(idleTimeout);
    if (result.isConnectionDone)
        co_return result;
    // Bounds the time for the header and the body together.
    const auto timeout = limits.headerTimeout > duration(0) ? limits.headerTimeout : no_limit;
    read_timeout limit(m_socket, millis_clock::now() + timeout);
    const boost::system::error_code error = co_await readMessage(result);
    if (limit.hasPassed())
        result.error = error_kind::request_too_slow;
    else if (isEndOfConnection(error))
        result.isConnectionDone = true;
    else if (error)
        result.error = errorKindOf(error);
    if (error || result.error != error_kind::none)
        co_return result;
    result.version = m_parser->message().version();
    result.keepsAlive = m_parser->message().keep_alive();
    result.request = toRequest(m_parser->get().release());
    co_return result;
}

} // namespace gooseberrymoor
