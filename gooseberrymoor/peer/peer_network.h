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

// The links of one node: it dials every peer, and accepts those of its peers. Requests go out on
// dialled links and their answers come back on the same ones. One task for each connection and
// each peer. Not thread-safe. Handlers and counters must outlive it.
class peer_network
{
public:
    peer_network(asio::any_io_executor executor, std::string ownName, std::string cell,
                 counters &events);
    ~peer_network();

    // Sends messages of `kind` to `handler`.
    void setHandler(message_kind kind, frame_handler &handler);

    // Binds `address` and starts to accept; the error is for people.
    tl::expected<void, std::string> start(endpoint address);

    // Dials exactly `peers` from now on; links to others are closed.
    void setPeers(std::map<std::string, endpoint> peers);

    // The dialled link to `peer`, or null while there is none.
    std::shared_ptr<peer_channel> channelTo(const std::string &peer) const;

    // Names of the peers with a dialled link now.
    std::vector<std::string> connectedPeers() const;

    // Accepts and dials no more, and closes every link.
    void stop();

private:
    struct dialled_peer
    {
        endpoint address;
        std::shared_ptr<peer_channel> channel;
    };

    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> serveAccepted(asio::ip::tcp::socket socket);
    asio::awaitable<void> dialLoop(std::string peer, endpoint address);
    asio::awaitable<void> runConnection(asio::ip::tcp::socket &socket,
                                        std::shared_ptr<peer_channel> channel);
    asio::awaitable<void> readLoop(asio::ip::tcp::socket &socket,
                                   std::shared_ptr<peer_channel> channel);
    bool dispatch(const std::shared_ptr<peer_channel> &channel, const frame &message);
    bool takeHello(const std::shared_ptr<peer_channel> &channel, const frame &message);
    bool wants(const std::string &peer, const endpoint &address) const;

    asio::any_io_executor m_executor;
    std::string m_ownName;
    std::string m_cell;
    counters &m_events;
    asio::ip::tcp::acceptor m_acceptor;
    std::map<message_kind, frame_handler *> m_handlers;
    std::map<std::string, dialled_peer> m_peers;
    std::set<std::shared_ptr<peer_channel>> m_channels;
    bool m_stopped = false;
};

} // namespace gooseberrymoor
