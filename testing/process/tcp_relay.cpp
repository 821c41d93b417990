#include "tcp_relay.h"

#include "gooseberrymoor/base/net.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <random>
#include <sstream>
#include <string>
#include <thread>

namespace asio = boost::asio;
using asio::ip::tcp;
using gooseberrymoor::as_result;
using gooseberrymoor::endpoint;

namespace {

constexpr std::size_t chunk_bytes = 16 * 1024;
constexpr std::chrono::milliseconds repeat_delay { 30 };
constexpr std::chrono::milliseconds piece_delay { 1 };
constexpr std::size_t max_piece_bytes = 60; // of a reply that is sent in pieces
constexpr std::size_t end_bytes = 5; // of a reply, which are sent one by one
constexpr std::uint32_t broken_off_one_in = 6;

// Returns `reply` with its body in chunks, if it is one whole HTTP reply with a length; otherwise
// returns it unchanged.
std::string inChunks(const std::string &reply)
{
    static const std::string field = "Content-Length: ";
    const std::size_t at = reply.find(field);
    const std::size_t headEnd = reply.find("\r\n\r\n");
    if (at == std::string::npos || headEnd == std::string::npos || at > headEnd)
        return reply;
    const std::size_t lineEnd = reply.find("\r\n", at);
    const std::size_t length = std::stoul(reply.substr(at + field.size(), lineEnd - at));
    const std::string body = reply.substr(headEnd + 4);
    if (body.size() != length)
        return reply;
    std::ostringstream text;
    text << reply.substr(0, at) << "Transfer-Encoding: chunked"
         << reply.substr(lineEnd, headEnd - lineEnd) << "\r\n\r\n";
    if (!body.empty())
        text << std::hex << body.size() << ";extension=\"x\"\r\n" << body << "\r\n";
    text << "0\r\n\r\n";
    return text.str();
}

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
        case relay_mode::chunk_replies:
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
            if (!fromClient && mode == relay_mode::chunk_replies) {
                if (!co_await sendInChunks(connection, std::string(chunk.data(), size)))
                    co_return;
                continue;
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

    // Sends `reply` to the client in chunks and pieces, or breaks it off and closes the connection.
    // Returns whether the connection goes on.
    asio::awaitable<bool> sendInChunks(std::shared_ptr<relayed_connection> connection,
                                       std::string reply)
    {
        const std::string message = inChunks(reply);
        const bool isBrokenOff = random() % broken_off_one_in == 0;
        const std::size_t size = isBrokenOff ? random() % message.size() : message.size();
        std::size_t sent = 0;
        while (sent < size) {
            const bool isNearEnd = sent + end_bytes >= message.size();
            const std::size_t drawn = isNearEnd ? 1 : 1 + random() % max_piece_bytes;
            const std::size_t room = isNearEnd ? size - sent : message.size() - end_bytes - sent;
            const std::size_t piece = std::min({ drawn, room, size - sent });
            const auto buffer = asio::buffer(message.data() + sent, piece);
            const auto [error, written]
                = co_await asio::async_write(connection->client, buffer, as_result);
            if (error)
                co_return false;
            sent += piece;
            asio::steady_timer delay(context, piece_delay);
            co_await delay.async_wait(as_result);
        }
        if (isBrokenOff) {
            connection->client.close();
            connection->server.close();
        }
        co_return !isBrokenOff;
    }

    asio::io_context context { 1 };
    std::minstd_rand random { 1 }; // used on the relay's thread
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
