#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/peer/frame.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The sending side of one connection to a peer: a bounded queue that one task writes to the socket.
// A channel belongs to a single connection. A new connection gets a new channel, so that requests
// and responses of different connections cannot be confused. Not thread-safe.
class peer_channel
{
public:
    explicit peer_channel(asio::any_io_executor executor);

    // Queues a message. Returns its position, counted from 1, or 0 if the channel is closed or the
    // queue is full.
    std::uint64_t send(message_kind kind, std::span<const std::uint8_t> payload);

    // Whether any bytes of the message at `position` may have been written to the socket.
    // `position` must not be 0, for which this returns true although nothing was queued.
    bool mayHaveBeenSent(std::uint64_t position) const { return position <= m_lastWrittenPosition; }

    // Whether messages can be queued.
    bool isOpen() const { return m_open; }

    // Closes the channel and its connection, and drops the queued messages.
    void close();

    // Name of the node at the other end; empty until its hello message is received.
    const std::string &peerName() const { return m_peerName; }
    void setPeerName(std::string name) { m_peerName = std::move(name); }

    // Time at which the last frame was received, to detect unresponsive connections.
    time_point lastReceived() const { return m_lastReceived; }
    void markReceived(time_point now) { m_lastReceived = now; }

    // Writes queued messages to `socket` until the channel is closed or a write fails.
    asio::awaitable<void> writeLoop(asio::ip::tcp::socket &socket);

private:
    signal m_wake;
    asio::ip::tcp::socket *m_socket = nullptr; // not null while `writeLoop` runs
    std::vector<std::uint8_t> m_queued;
    std::string m_peerName;
    time_point m_lastReceived = millis_clock::now();
    std::uint64_t m_lastPosition = 0;
    std::uint64_t m_lastWrittenPosition = 0;
    bool m_open = true;
};

} // namespace gooseberrymoor
