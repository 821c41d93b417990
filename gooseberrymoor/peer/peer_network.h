#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/peer/frame_handler.h"

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class counters;

// The connections between one node and its peers: the other nodes of its cell, or of its fleet,
// whose nodes all use the same cell name. The node connects to every peer and accepts the
// connections of its peers. Each connection has a `peer_channel`, its sending side. The node sends
// requests over connections that it opened itself; the responses arrive on the same connections.
// Runs one task for each connection and each peer. Not thread-safe.
// Handlers and counters must outlive it.
class peer_network
{
public:
    // Connections from nodes whose cell has another name than `cell` are closed.
    peer_network(asio::any_io_executor executor, std::string ownName, std::string cell,
                 counters &events);
    ~peer_network();

    // Passes received messages of `kind` to `handler`.
    void setHandler(message_kind kind, frame_handler &handler);

    // Listens on `address` and starts accepting connections. Returns an error message on failure.
    tl::expected<void, std::string> start(endpoint address);

    // Replaces the set of peers: connects to new peers and closes the connections to removed ones.
    void setPeers(std::map<std::string, endpoint> peers);

    // Channel of the connection that this node opened to `peer`, or null if there is none.
    std::shared_ptr<peer_channel> channelTo(const std::string &peer) const;

    // Names of the peers to which this node has an open connection.
    std::vector<std::string> connectedPeers() const;

    // Stops accepting and opening connections, and closes all of them.
    void stop();

private:
    struct configured_peer
    {
        endpoint address;
        std::shared_ptr<peer_channel> channel;
    };

    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> serveAcceptedConnection(asio::ip::tcp::socket socket);
    asio::awaitable<void> connectLoop(std::string peer, endpoint address);
    asio::awaitable<void> runConnection(asio::ip::tcp::socket &socket,
                                        std::shared_ptr<peer_channel> channel);
    asio::awaitable<void> readLoop(asio::ip::tcp::socket &socket,
                                   std::shared_ptr<peer_channel> channel);
    bool dispatch(const std::shared_ptr<peer_channel> &channel, const frame &message);
    bool handleHello(const std::shared_ptr<peer_channel> &channel, const frame &message);
    bool isConfigured(const std::string &peer, const endpoint &address) const;

    asio::any_io_executor m_executor;
    std::string m_ownName;
    std::string m_cell;
    counters &m_events;
    asio::ip::tcp::acceptor m_acceptor;
    std::map<message_kind, frame_handler *> m_handlers;
    std::map<std::string, configured_peer> m_peers;
    std::set<std::shared_ptr<peer_channel>> m_channels;
    bool m_stopped = false;
};

} // namespace gooseberrymoor
