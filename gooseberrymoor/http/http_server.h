#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/http/http_limits.h"

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <exception>
#include <memory>
#include <set>
#include <string>

namespace gooseberrymoor {

class counters;
class event_log;
class http_handler;
class request_reader;
struct http_reply;
struct received_request;

// HTTP/1.1 server on one address. Each connection has one task, which processes one request at a
// time. Not thread-safe. Handler and counters must outlive the executor's last task.
class http_server
{
public:
    http_server(asio::any_io_executor executor, http_handler &handler, counters &events,
                std::size_t maxBodyBytes);
    ~http_server();

    // Listens on `address` and starts accepting connections. The error is human-readable.
    tl::expected<void, std::string> start(endpoint address);

    // Sets the limits of requests; they apply from the next request of each connection on.
    void setLimits(http_limits limits) { m_limits = limits; }

    // Logs exceptions that end the task of a connection to `log`, which must outlive the server's
    // tasks.
    void setLog(event_log &log) { m_log = &log; }

    // Each connection closes after its next reply, which announces it to the client.
    void startDraining();

    // Stops accepting connections, closes those without a request in progress, and drains the rest.
    // Requests that have already reached this VM are still served, also on connections that were
    // not accepted yet.
    void stopAccepting();

    // The number of open connections.
    std::size_t openConnections() const { return m_open; }

private:
    class reading_entry;
    using reader_set = std::set<request_reader *>;

    asio::awaitable<void> acceptLoop();
    void acceptPending();
    void startServing(asio::ip::tcp::socket socket);
    duration idleTimeout() const;
    void onException(const asio::ip::tcp::socket &socket, const std::exception &error);
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    asio::awaitable<received_request> readRequest(request_reader &reader);
    asio::awaitable<void> serveRequests(asio::ip::tcp::socket &socket);
    asio::awaitable<bool> sendChunkedBody(boost::asio::ip::tcp::socket &socket, http_reply reply,
                                          unsigned version, bool keepAlive);

    asio::any_io_executor m_executor;
    http_handler &m_handler;
    counters &m_events;
    event_log *m_log = nullptr; // may be null
    http_limits m_limits;
    asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_open = 0;
    // They wait for their next request, or receive it.
    std::shared_ptr<reader_set> m_reading = std::make_shared<reader_set>();
    bool m_draining = false;
    bool m_stopping = false;
};

} // namespace gooseberrymoor
