#include "gooseberrymoor/peer/peer_network.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/peer/hello_generated.h"
#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/wire.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read.hpp>

#include <netinet/tcp.h>

#include <random>
#include <variant>

namespace gooseberrymoor {

namespace {

using tcp = asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr duration min_reconnect_delay { 50 }; // also after a failed accept
constexpr duration max_reconnect_delay { 1000 };
constexpr duration connect_timeout { 1000 };
// After this time without an acknowledgement of sent data the kernel closes the connection.
constexpr int unacknowledged_timeout_ms = 1500;
using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

duration withJitter(duration base)
{
    static thread_local std::minstd_rand generator { std::random_device {}() };
    std::uniform_int_distribution<duration::rep> spread(base.count() / 2, base.count());
    return duration(spread(generator));
}

void sendHello(peer_channel &channel, const std::string &name, const std::string &cell)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::CreatehelloDirect(builder, name.c_str(), cell.c_str()));
    channel.send(message_kind::hello, bytesOf(builder));
}

} // namespace

peer_network::peer_network(asio::any_io_executor executor, std::string ownName, std::string cell,
                           counters &events)
    : m_executor(std::move(executor)), m_ownName(std::move(ownName)), m_cell(std::move(cell)),
      m_events(events), m_acceptor(m_executor)
{
}

peer_network::~peer_network() = default;

void peer_network::setHandler(message_kind kind, frame_handler &handler)
{
    m_handlers[kind] = &handler;
}

tl::expected<void, std::string> peer_network::start(endpoint address)
{
    const tcp::endpoint local(asio::ip::make_address(address.address), address.port);
    boost::system::error_code error;
    m_acceptor.open(local.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(local, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return tl::unexpected(toString(address) + ": " + error.message());
    startTask(m_executor, m_events, "peer_accept", acceptLoop());
    return {};
}

void peer_network::setPeers(std::map<std::string, endpoint> peers)
{
    for (auto known = m_peers.begin(); known != m_peers.end();) {
        const auto wanted = peers.find(known->first);
        if (wanted != peers.end() && wanted->second == known->second.address) {
            ++known;
            continue;
        }
        if (known->second.channel)
            known->second.channel->close();
        known = m_peers.erase(known);
    }
    for (auto &[peer, address] : peers) {
        if (peer == m_ownName || m_peers.contains(peer))
            continue;
        m_peers[peer] = { address, nullptr };
        startTask(m_executor, m_events, "peer_dial", connectLoop(peer, address));
    }
}

std::shared_ptr<peer_channel> peer_network::channelTo(const std::string &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? nullptr : found->second.channel;
}

std::vector<std::string> peer_network::connectedPeers() const
{
    std::vector<std::string> connected;
    for (const auto &[name, peer] : m_peers) {
        if (peer.channel)
            connected.push_back(name);
    }
    return connected;
}

void peer_network::stop()
{
    m_stopped = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_peers.clear();
    for (const auto &channel : m_channels)
        channel->close();
}

bool peer_network::isConfigured(const std::string &peer, const endpoint &address) const
{
    const auto found = m_peers.find(peer);
    return !m_stopped && found != m_peers.end() && found->second.address == address;
}

asio::awaitable<void> peer_network::acceptLoop()
{
    while (!m_stopped) {
        auto [error, socket] = co_await m_acceptor.async_accept(as_result);
        if (m_stopped)
            co_return;
        if (error) {
            m_events.add("peer_accept_failed");
            timer delay(m_executor, millis_clock::now() + min_reconnect_delay);
            co_await delay.async_wait(as_result);
            continue;
        }
        startTask(m_executor, m_events, "peer_connection",
                  serveAcceptedConnection(std::move(socket)));
    }
}

asio::awaitable<void> peer_network::serveAcceptedConnection(tcp::socket socket)
{
    co_await runConnection(socket, std::make_shared<peer_channel>(m_executor));
}

asio::awaitable<void> peer_network::connectLoop(std::string peer, endpoint address)
{
    const tcp::endpoint remote(asio::ip::make_address(address.address), address.port);
    duration reconnectDelay = min_reconnect_delay;
    while (isConfigured(peer, address)) {
        tcp::socket socket(m_executor);
        timer timeout(m_executor, millis_clock::now() + connect_timeout);
        const auto result
            = co_await (socket.async_connect(remote, as_result) || timeout.async_wait(as_result));
        const auto *connected = std::get_if<0>(&result);
        const bool error = !connected || std::get<0>(*connected);
        if (!error && isConfigured(peer, address)) {
            reconnectDelay = min_reconnect_delay;
            auto channel = std::make_shared<peer_channel>(m_executor);
            channel->setPeerName(peer);
            sendHello(*channel, m_ownName, m_cell);
            m_peers[peer].channel = channel;
            m_events.add("peer_links_opened");
            co_await runConnection(socket, channel);
            const auto found = m_peers.find(peer);
            if (found != m_peers.end() && found->second.channel == channel)
                found->second.channel = nullptr;
        }
        if (!isConfigured(peer, address))
            co_return;
        timer delay(m_executor, millis_clock::now() + withJitter(reconnectDelay));
        co_await delay.async_wait(as_result);
        reconnectDelay = std::min(reconnectDelay * 2, max_reconnect_delay);
    }
}

asio::awaitable<void> peer_network::runConnection(tcp::socket &socket,
                                                  std::shared_ptr<peer_channel> channel)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(user_timeout(unacknowledged_timeout_ms), ignored);
    m_channels.insert(channel);
    co_await (readLoop(socket, channel) || channel->writeLoop(socket));
    channel->close();
    m_channels.erase(channel);
    m_events.add("peer_links_closed");
    std::set<frame_handler *> handlers;
    for (const auto &[kind, handler] : m_handlers)
        handlers.insert(handler);
    for (frame_handler *handler : handlers)
        handler->onChannelClosed(channel);
}

asio::awaitable<void> peer_network::readLoop(tcp::socket &socket,
                                             std::shared_ptr<peer_channel> channel)
{
    std::array<std::uint8_t, frame_header_bytes> headerBytes {};
    frame message;
    while (channel->isOpen()) {
        const auto [headerError, headerSize]
            = co_await asio::async_read(socket, asio::buffer(headerBytes), as_result);
        if (headerError) {
            if (headerSize != 0)
                m_events.add("peer_frames_truncated");
            co_return;
        }
        const frame_header header = decodeHeader(headerBytes);
        if (header.error != frame_error::none) {
            m_events.add("peer_frames_malformed");
            co_return;
        }
        message.kind = header.kind;
        message.payload.resize(header.length);
        const auto [bodyError, bodySize]
            = co_await asio::async_read(socket, asio::buffer(message.payload), as_result);
        if (bodyError) {
            m_events.add("peer_frames_truncated");
            co_return;
        }
        channel->markReceived(millis_clock::now());
        if (!dispatch(channel, message)) {
            m_events.add("peer_frames_malformed");
            co_return;
        }
    }
}

bool peer_network::dispatch(const std::shared_ptr<peer_channel> &channel, const frame &message)
{
    if (message.kind == message_kind::hello)
        return handleHello(channel, message);
    if (channel->peerName().empty())
        return false; // the hello must be the first message
    const auto handler = m_handlers.find(message.kind);
    return handler != m_handlers.end() && handler->second->onFrame(channel, message);
}

bool peer_network::handleHello(const std::shared_ptr<peer_channel> &channel, const frame &message)
{
    const auto *hello = verifiedRoot<wire::hello>(message.payload);
    if (!hello || textOf(hello->cell()) != m_cell || textOf(hello->name()).empty())
        return false;
    channel->setPeerName(textOf(hello->name()));
    return true;
}

} // namespace gooseberrymoor
