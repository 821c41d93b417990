#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/http/http_limits.h"
#include "gooseberrymoor/http/incremental_parser.h"
#include "gooseberrymoor/http/received_request.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace gooseberrymoor {

// Reads the requests of one connection, one after the other. The socket must outlive it.
// Not thread-safe; used by one task.
class request_reader
{
public:
    explicit request_reader(asio::ip::tcp::socket &socket) : m_socket(socket) { }
    request_reader(const request_reader &) = delete;
    request_reader &operator=(const request_reader &) = delete;

    // Reads the next request; waits for its first byte for `idleTimeout`. Nothing may be read after
    // a request with an error: where it ends can't be told.
    asio::awaitable<received_request> read(http_limits limits, duration idleTimeout);

    // Closes the connection if no byte of a request has arrived since the last one.
    void closeIfIdle();

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    asio::awaitable<bool> waitForFirstByte(duration idleTimeout);
    asio::awaitable<boost::system::error_code> readMessage(received_request &result);
    bool hasRequest() const;

    asio::ip::tcp::socket &m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<incremental_parser<parser>> m_parser; // of the current request
};

} // namespace gooseberrymoor
