#pragma once

#include "gooseberrymoor/http/http_connection.h"
#include "testing/scripted_peer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <tl/expected.hpp>

#include <exception>
#include <optional>
#include <string>

namespace gooseberrymoor {

// How a scripted reply ends.
enum class reply_end {
    stays_open,
    closes,
    resets,
};

// A client connection of the product, and the server that it uses, which sends scripted replies.
// Not thread-safe.
class exchange_fixture
{
public:
    using result_type = tl::expected<http_reply, http_failure>;

    explicit exchange_fixture(const endpoint &address)
        : m_address(address),
          m_acceptor(m_context, { asio::ip::make_address(address.address), address.port }),
          m_connection(m_context.get_executor())
    {
    }

    // Sends one request and answers it with `reply`. Uses the connection again where it can be.
    result_type exchange(const pieces &reply, reply_end end = reply_end::stays_open,
                         const std::string &method = "GET")
    {
        const http_request request(method, "/");
        if (!m_connection.isUsable())
            connect();
        std::optional<result_type> result;
        asio::co_spawn(m_context,
                       m_connection.exchange(request, millis_clock::now() + exchange_timeout),
                       [&](std::exception_ptr failure, result_type outcome) {
                           CHECK(!failure);
                           result = std::move(outcome);
                       });
        REQUIRE(!m_server->receive().empty());
        m_server->send(reply);
        if (end == reply_end::closes)
            m_server->close();
        if (end == reply_end::resets)
            m_server->reset();
        REQUIRE(scripted_peer::runUntil(m_context, [&] { return result.has_value(); }));
        return *result;
    }

    bool isOpen() const { return m_connection.isOpen(); }

private:
    void connect()
    {
        m_connection.close();
        std::optional<bool> isConnected;
        asio::co_spawn(
            m_context, m_connection.connect(m_address, millis_clock::now() + exchange_timeout),
            [&](std::exception_ptr failure, const tl::expected<void, http_failure> &made) {
                isConnected = !failure && made.has_value();
            });
        REQUIRE(scripted_peer::runUntil(m_context, [&] { return isConnected.has_value(); }));
        REQUIRE(*isConnected);
        m_server.emplace(m_context, m_acceptor.accept());
    }

    static constexpr duration exchange_timeout { 5000 };

    endpoint m_address;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::optional<scripted_peer> m_server;
    http_connection m_connection;
};

} // namespace gooseberrymoor
