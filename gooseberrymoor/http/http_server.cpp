#include "gooseberrymoor/http/http_server.h"

#include "gooseberrymoor/base/cancellation.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/http/disconnect_monitor.h"
#include "gooseberrymoor/http/http_body_source.h"
#include "gooseberrymoor/http/http_handler.h"
#include "gooseberrymoor/http/message_framing.h"
#include "gooseberrymoor/http/operation_deadline.h"
#include "gooseberrymoor/http/received_request.h"
#include "gooseberrymoor/http/request_reader.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace gooseberrymoor {

namespace {

namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr const char *allowed_methods = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";
constexpr duration accept_retry_delay {
    20
}; // after a failed accept, e.g. with too many open files
constexpr duration no_limit { 24 * 3'600'000 }; // used as the timeout if a limit is 0
constexpr duration reply_write_timeout { 20'000 }; // for clients that do not read
constexpr duration linger_timeout { 500 };
constexpr duration stopping_idle_timeout { 100 }; // of connections accepted just before the stop

// `isHead`: the reply is to a HEAD request and has no body. Its length is given if it is known.
http::response<http::string_body> toMessage(http_reply reply, unsigned version, bool keepAlive,
                                            bool isHead)
{
    http::response<http::string_body> message(static_cast<http::status>(reply.status), version);
    if (!reply.contentType.empty())
        message.set(http::field::content_type, reply.contentType);
    for (auto &[name, value] : reply.headers)
        message.insert(name, value);
    message.keep_alive(keepAlive && !reply.closeAfter);
    message.body() = std::move(reply.body);
    message.prepare_payload();
    if (isHead && message.body().empty())
        message.erase(http::field::content_length);
    if (isHead)
        message.body().clear();
    return message;
}

// The counter of requests that are rejected with `kind`.
std::string_view rejectionCounter(error_kind kind)
{
    switch (kind) {
    case error_kind::too_large:
        return "http_too_large";
    case error_kind::header_too_large:
        return "http_header_too_large";
    case error_kind::request_too_slow:
        return "http_too_slow";
    default:
        return "http_malformed";
    }
}

// Shuts down the sending side and discards what the client still sends. Closing with unread bytes
// would reset the connection, and the client could lose the last reply.
asio::awaitable<void> lingerBeforeClose(tcp::socket &socket)
{
    boost::system::error_code error;
    socket.shutdown(tcp::socket::shutdown_send, error);
    operation_deadline limit(socket, millis_clock::now() + linger_timeout);
    std::array<char, 1024> discarded {};
    while (!error) {
        const auto [readError, size]
            = co_await socket.async_read_some(asio::buffer(discarded), as_result);
        error = readError;
    }
}

} // namespace

// Lists a reader among those that are reading, for as long as it exists. Shares ownership of the
// list: when the executor is destroyed, unfinished tasks can outlive the server.
class http_server::reading_entry
{
public:
    reading_entry(std::shared_ptr<reader_set> reading, request_reader &reader)
        : m_reading(std::move(reading)), m_reader(&reader)
    {
        m_reading->insert(m_reader);
    }
    ~reading_entry() { m_reading->erase(m_reader); }
    reading_entry(const reading_entry &) = delete;
    reading_entry &operator=(const reading_entry &) = delete;

private:
    std::shared_ptr<reader_set> m_reading;
    request_reader *m_reader;
};

http_server::http_server(asio::any_io_executor executor, http_handler &handler, counters &events,
                         std::size_t maxBodyBytes)
    : m_executor(std::move(executor)), m_handler(handler), m_events(events), m_acceptor(m_executor)
{
    m_limits.bodyBytes = maxBodyBytes;
}

http_server::~http_server() = default;

tl::expected<void, std::string> http_server::start(endpoint address)
{
    const tcp::endpoint local(asio::ip::make_address(address.address), address.port);
    boost::system::error_code error;
    m_acceptor.open(local.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(local, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return tl::unexpected(toString(address) + ": " + error.message());
    startTask(m_executor, m_events, "http_accept", acceptLoop());
    return {};
}

void http_server::startDraining()
{
    m_draining = true;
}

void http_server::stopAccepting()
{
    m_draining = true;
    m_stopping = true;
    acceptPending(); // closing the acceptor would reset them, although requests may have been sent
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (request_reader *reader : *m_reading)
        reader->closeIfIdle();
}

// Accepts the connections that clients have already opened.
void http_server::acceptPending()
{
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_executor);
        m_acceptor.accept(socket, error);
        if (!error)
            startServing(std::move(socket));
    }
}

void http_server::startServing(tcp::socket socket)
{
    const bool isFull = m_limits.connections > 0 && m_open >= m_limits.connections;
    if (isFull || !m_handler.onConnectionOpened()) {
        m_events.add("http_connection_refused");
        return;
    }
    ++m_open;
    startTask(m_executor, m_events, "http_connection", serve(std::move(socket)));
}

asio::awaitable<void> http_server::acceptLoop()
{
    while (!m_stopping) {
        auto [error, socket] = co_await m_acceptor.async_accept(as_result);
        if (error && m_stopping)
            co_return;
        if (error) {
            m_events.add("http_accept_failed");
            timer retryTimer(m_executor, millis_clock::now() + accept_retry_delay);
            co_await retryTimer.async_wait(as_result);
            continue;
        }
        startServing(std::move(socket));
        // A busy process gets here seldom; one connection at a time would leave the others waiting.
        acceptPending();
    }
}

asio::awaitable<void> http_server::serve(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    try {
        co_await serveRequests(socket);
    } catch (const std::exception &error) {
        onException(socket, error);
    }
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    --m_open;
    m_handler.onConnectionClosed();
}

// How long to wait for the next request on a connection.
duration http_server::idleTimeout() const
{
    if (m_stopping)
        return stopping_idle_timeout;
    return m_limits.idleTimeout > duration(0) ? m_limits.idleTimeout : no_limit;
}

// Logs an exception that ended the task of a connection.
void http_server::onException(const tcp::socket &socket, const std::exception &error)
{
    m_events.add("http_connection_exceptions");
    if (!m_log)
        return;
    boost::system::error_code ignored;
    const tcp::endpoint client = socket.remote_endpoint(ignored);
    m_log->write("connection_failed",
                 { { "client", toString({ client.address().to_string(), client.port() }) },
                   { "reason", error.what() } });
}

asio::awaitable<received_request> http_server::readRequest(request_reader &reader)
{
    const reading_entry entry(m_reading, reader);
    received_request request = co_await reader.read(m_limits, idleTimeout());
    co_return request;
}

asio::awaitable<void> http_server::serveRequests(tcp::socket &socket)
{
    request_reader reader(socket);
    bool keepAlive = true;
    bool isFirst = true;
    while (keepAlive) {
        received_request read = co_await readRequest(reader);
        if (read.isConnectionDone)
            co_return;
        http_reply reply;
        const bool isHead = read.request.method == method_head;
        if (read.error != error_kind::none) {
            m_events.add(rejectionCounter(read.error));
            reply = m_handler.refuse(read.error, std::move(read.detail));
            if (read.error == error_kind::method_not_allowed)
                reply.headers.emplace_back("Allow", allowed_methods);
            keepAlive = false;
        } else {
            keepAlive = read.keepsAlive;
            read.request.firstOnConnection = isFirst;
            read.request.abandoned = std::make_shared<cancellation>();
            const disconnect_monitor monitor(socket, read.request.abandoned);
            reply = co_await m_handler.handle(std::move(read.request));
        }
        isFirst = false;
        keepAlive = keepAlive && !m_draining && !reply.closeAfter;
        if (reply.bodySource && !isHead) {
            if (!co_await sendChunkedBody(socket, std::move(reply), read.version, keepAlive))
                co_return;
            continue;
        }
        const auto reservation = reply.reservation; // the body occupies memory until it is sent
        const auto message = toMessage(std::move(reply), read.version, keepAlive, isHead);
        operation_deadline limit(socket, millis_clock::now() + reply_write_timeout);
        const auto [writeError, written] = co_await http::async_write(socket, message, as_result);
        if (writeError)
            co_return;
    }
    co_await lingerBeforeClose(socket);
}

// Sends a reply with a chunked body; returns whether all of it was sent.
asio::awaitable<bool> http_server::sendChunkedBody(tcp::socket &socket, http_reply reply,
                                                   unsigned version, bool keepAlive)
{
    http::response<http::empty_body> head(static_cast<http::status>(reply.status), version);
    head.set(http::field::content_type, reply.contentType);
    head.keep_alive(keepAlive);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    const auto [headError, headSize]
        = co_await http::async_write_header(socket, serializer, as_result);
    if (headError)
        co_return false;
    while (true) {
        // Aborts the body if the client disconnects, or sends anything before the end of the body.
        const auto waited = co_await (reply.bodySource->next()
                                      || socket.async_wait(tcp::socket::wait_read, as_result));
        const auto *chunk = std::get_if<std::optional<std::string>>(&waited);
        if (!chunk)
            co_return false;
        if (!*chunk)
            break;
        const auto encodedChunk = http::make_chunk(asio::buffer(**chunk));
        const auto [error, size] = co_await asio::async_write(socket, encodedChunk, as_result);
        if (error)
            co_return false;
    }
    const auto lastChunk = http::make_chunk_last();
    const auto [error, size] = co_await asio::async_write(socket, lastChunk, as_result);
    co_return !error;
}

} // namespace gooseberrymoor
