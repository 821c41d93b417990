#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "testing/pieces.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <string>

namespace gooseberrymoor {

// The other side of a connection in a test: sends given bytes in given pieces. Its operations are
// synchronous; between them it runs `context`, on which the tested code lives. Not thread-safe.
class scripted_peer
{
public:
    using socket = boost::asio::ip::tcp::socket;

    scripted_peer(boost::asio::io_context &context, socket connection)
        : m_context(&context), m_socket(std::move(connection))
    {
        m_socket.set_option(boost::asio::ip::tcp::no_delay(true));
    }

    // Connects to `server`.
    static scripted_peer connect(boost::asio::io_context &context, const endpoint &server)
    {
        socket connection(context);
        connection.connect({ boost::asio::ip::make_address(server.address), server.port });
        return { context, std::move(connection) };
    }

    // Sends each piece after the tested code has taken the one before. Stops if the connection was
    // closed on the other side.
    void send(const pieces &message)
    {
        boost::system::error_code error;
        for (const std::string &piece : message) {
            boost::asio::write(m_socket, boost::asio::buffer(piece), error);
            if (error)
                return;
            settle();
        }
    }

    // Runs the tested code until something has arrived, and returns it; empty if the connection was
    // closed or nothing came in time.
    std::string receive()
    {
        std::string received(max_received_bytes, '\0');
        boost::system::error_code error;
        m_socket.non_blocking(true, error);
        std::size_t size = 0;
        runUntil(*m_context, [&] {
            size = m_socket.read_some(boost::asio::buffer(received), error);
            return error != boost::asio::error::would_block;
        });
        received.resize(size);
        return received;
    }

    // Whether bytes have arrived that `receive` would return.
    bool hasReceived()
    {
        boost::system::error_code ignored;
        return m_socket.available(ignored) > 0;
    }

    // Ends the connection in order.
    void close()
    {
        boost::system::error_code ignored;
        m_socket.shutdown(socket::shutdown_both, ignored);
        m_socket.close(ignored);
    }

    // Ends the connection by a reset.
    void reset()
    {
        boost::system::error_code ignored;
        m_socket.set_option(socket::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    // Runs the tested code as far as it gets without further input.
    void settle()
    {
        m_context->restart(); // it stops whenever it runs out of work
        while (m_context->poll() > 0) { }
    }

    // Runs `context` until `done()`; returns false if that takes too long.
    template <typename Condition>
    static bool runUntil(boost::asio::io_context &context, Condition done)
    {
        const time_point limit = millis_clock::now() + max_wait;
        while (!done()) {
            if (millis_clock::now() >= limit)
                return false;
            context.restart();
            context.run_one_for(poll_interval);
        }
        return true;
    }

private:
    static constexpr std::size_t max_received_bytes = 64ULL * 1024;
    static constexpr duration max_wait { 5000 };
    static constexpr duration poll_interval { 5 };

    boost::asio::io_context *m_context;
    socket m_socket;
};

} // namespace gooseberrymoor
