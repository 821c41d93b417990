#include "gooseberrymoor/peer/peer_channel.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace gooseberrymoor {

namespace {

constexpr std::size_t max_queued_bytes = 16 * 1024 * 1024;

} // namespace

peer_channel::peer_channel(asio::any_io_executor executor) : m_wake(std::move(executor)) { }

std::uint64_t peer_channel::send(message_kind kind, std::span<const std::uint8_t> payload)
{
    if (!m_open || m_queued.size() + payload.size() > max_queued_bytes)
        return 0;
    appendFrame(m_queued, kind, payload);
    m_wake.notify();
    return ++m_lastPosition;
}

void peer_channel::close()
{
    m_open = false;
    m_queued.clear();
    // Closing the socket ends a pending write, which would never complete by itself if the peer
    // has stopped reading.
    boost::system::error_code ignored;
    if (m_socket)
        m_socket->close(ignored);
    m_wake.notify();
}

asio::awaitable<void> peer_channel::writeLoop(asio::ip::tcp::socket &socket)
{
    std::vector<std::uint8_t> writing;
    m_socket = &socket;
    while (m_open) {
        if (m_queued.empty()) {
            co_await m_wake.wait();
            continue;
        }
        // All queued messages are written in one operation.
        writing.clear();
        writing.swap(m_queued);
        m_lastWrittenPosition = m_lastPosition;
        const auto [error, written]
            = co_await asio::async_write(socket, asio::buffer(writing), as_result);
        if (error)
            break;
    }
    m_socket = nullptr;
}

} // namespace gooseberrymoor
