#include "tcp_relay.h"

#include "gooseberrymoor/base/net.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <thread>

namespace asio = boost::asio;
using asio::ip::tcp;
using gooseberrymoor::as_result;
using gooseberrymoor::endpoint;

namespace {

constexpr std::size_t chunk_bytes = 16 * 1024;
constexpr std::chrono::milliseconds repeat_delay { 30 };

tcp::endpoint toAddress(const endpoint &value)
{
    return { asio::ip::make_address(value.address), value.port };
}

// One accepted connection and the connection to the server that belongs to it.
struct relayed_connection
{
    explicit relayed_connection(asio::io_context &context) : client(context), server(context) { }
    tcp::socket client;
    tcp::socket server;
    int number = 0;
};

} // namespace

struct tcp_relay::implementation
{
    explicit implementation(const endpoint &local) : acceptor(context, toAddress(local)) { }

    bool dropsBytes(const relayed_connection &connection, bool fromClient) const
    {
        if (connection.number < firstForwarded)
            return true;
        switch (mode.load()) {
        case relay_mode::forward:
        case relay_mode::repeat_replies:
        case relay_mode::cut_replies:
            return false;
        case relay_mode::drop_requests:
            return fromClient;
        case relay_mode::drop_replies:
            return !fromClient;
        case relay_mode::silent:
            return true;
        }
        return false;
    }

    asio::awaitable<void> acceptLoop(endpoint remote)
    {
        for (;;) {
            auto [error, socket] = co_await acceptor.async_accept(as_result);
            if (error)
                co_return;
            auto connection = std::make_shared<relayed_connection>(context);
            connection->client = std::move(socket);
            connection->number = ++accepted;
            asio::co_spawn(context, open(connection, remote), asio::detached);
        }
    }

    asio::awaitable<void> open(std::shared_ptr<relayed_connection> connection, endpoint remote)
    {
        const auto [error]
            = co_await connection->server.async_connect(toAddress(remote), as_result);
        if (error) {
            connection->client.close();
            co_return;
        }
        asio::co_spawn(context, forwardBytes(connection, true), asio::detached);
        asio::co_spawn(context, forwardBytes(connection, false), asio::detached);
    }

    asio::awaitable<void> forwardBytes(std::shared_ptr<relayed_connection> connection,
                                       bool fromClient)
    {
        tcp::socket &source = fromClient ? connection->client : connection->server;
        tcp::socket &destination = fromClient ? connection->server : connection->client;
        std::array<char, chunk_bytes> chunk {};
        for (;;) {
            const auto [readError, size]
                = co_await source.async_read_some(asio::buffer(chunk), as_result);
            if (dropsBytes(*connection, fromClient)) {
                if (readError)
                    co_return; // do not tell the other end that this end has closed
                continue;
            }
            if (readError) {
                boost::system::error_code ignored;
                destination.shutdown(tcp::socket::shutdown_send, ignored);
                co_return;
            }
            const bool isCut = !fromClient && mode == relay_mode::cut_replies;
            const std::size_t kept = isCut ? size / 2 : size;
            const auto [writeError, written]
                = co_await asio::async_write(destination, asio::buffer(chunk, kept), as_result);
            if (writeError)
                co_return;
            if (isCut) {
                connection->client.close();
                connection->server.close();
                co_return;
            }
            if (!fromClient && mode == relay_mode::repeat_replies) {
                asio::steady_timer delay(context, repeat_delay);
                co_await delay.async_wait(as_result);
                const auto [repeatError, repeated]
                    = co_await asio::async_write(destination, asio::buffer(chunk, size), as_result);
                if (repeatError)
                    co_return;
            }
        }
    }

    asio::io_context context { 1 };
    tcp::acceptor acceptor;
    std::atomic<relay_mode> mode = relay_mode::forward;
    std::atomic<int> accepted = 0;
    std::atomic<int> firstForwarded = 0;
    std::thread thread;
};

tcp_relay::tcp_relay(const endpoint &local, const endpoint &remote)
    : m_implementation(std::make_unique<implementation>(local))
{
    asio::co_spawn(m_implementation->context, m_implementation->acceptLoop(remote), asio::detached);
    m_implementation->thread = std::thread([this] { m_implementation->context.run(); });
}

tcp_relay::~tcp_relay()
{
    m_implementation->context.stop();
    m_implementation->thread.join();
}

void tcp_relay::setMode(relay_mode mode)
{
    m_implementation->mode = mode;
}

void tcp_relay::silenceOpenConnections()
{
    m_implementation->firstForwarded = m_implementation->accepted + 1;
}

int tcp_relay::accepted() const
{
    return m_implementation->accepted;
}
