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

// The outgoing side of one connection to a peer: a bounded queue that one task writes out.
// A channel lives as long as its connection; the next connection has a channel of its own, so
// what belongs to an old one is never mixed up with it. Not thread-safe.
class peer_channel
{
public:
    explicit peer_channel(asio::any_io_executor executor);

    // Queues one message. Returns its position, from 1; 0 if the channel is closed or full.
    std::uint64_t send(message_kind kind, std::span<const std::uint8_t> payload);

    // Whether bytes of the message at `position` may have left this process.
    bool mayHaveBeenSent(std::uint64_t position) const { return position <= m_handedOver; }

    // Whether messages can be queued.
    bool isOpen() const { return m_open; }

    // Ends the channel and its connection; what is still queued is dropped.
    void close();

    // Name of the node at the other end; empty until its hello.
    const std::string &peerName() const { return m_peerName; }
    void setPeerName(std::string name) { m_peerName = std::move(name); }

    // When the last frame came in, for the detection of silent connections.
    time_point lastReceived() const { return m_lastReceived; }
    void markReceived(time_point now) { m_lastReceived = now; }

    // Writes the queue to `socket` until the channel or the connection ends.
    asio::awaitable<void> writeLoop(asio::ip::tcp::socket &socket);

private:
    signal m_wake;
    asio::ip::tcp::socket *m_socket = nullptr; // while `writeLoop` runs
    std::vector<std::uint8_t> m_queued;
    std::string m_peerName;
    time_point m_lastReceived = millis_clock::now();
    std::uint64_t m_lastPosition = 0;
    std::uint64_t m_handedOver = 0;
    bool m_open = true;
};

} // namespace gooseberrymoor
