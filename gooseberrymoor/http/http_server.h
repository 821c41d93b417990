#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/http/http_limits.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <memory>
#include <set>
#include <string>

namespace gooseberrymoor {

class counters;
class http_handler;
struct http_reply;

// Serves HTTP/1.1 on one address: one task for each connection, one request of it at a time.
// Not thread-safe. Handler and counters must outlive the executor's last task.
class http_server
{
public:
    http_server(asio::any_io_executor executor, http_handler &handler, counters &events,
                std::size_t maxBodyBytes);
    ~http_server();

    // Binds `address` and starts to accept; the error is for people.
    tl::expected<void, std::string> start(endpoint address);

    // What clients may send from their next request on.
    void setLimits(http_limits limits) { m_limits = limits; }

    // From now on each connection closes after its next reply, and says so in it.
    void startDraining();

    // Accepts no more connections, and closes those on which no request has begun.
    void stopAccepting();

    // Connections open now.
    std::size_t openConnections() const { return m_open; }

private:
    struct idle_connection; // waits for its next request
    struct incoming; // a request that was read, or how reading it failed

    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    asio::awaitable<void> serveRequests(asio::ip::tcp::socket &socket);
    asio::awaitable<incoming> readRequest(asio::ip::tcp::socket &socket,
                                          boost::beast::flat_buffer &buffer);
    asio::awaitable<bool> sendChunkedBody(boost::asio::ip::tcp::socket &socket, http_reply reply,
                                          unsigned version, bool keepAlive);

    asio::any_io_executor m_executor;
    http_handler &m_handler;
    counters &m_events;
    http_limits m_limits;
    asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_open = 0;
    std::set<const idle_connection *> m_idle;
    bool m_draining = false;
    bool m_stopping = false;
};

} // namespace gooseberrymoor
