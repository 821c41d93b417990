#pragma once

#include "gooseberrymoor/base/cancellation.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace gooseberrymoor {

// Watches the socket of a client that waits for its answer. A socket that becomes readable with
// nothing to read was closed by the client. Leaving its scope ends the watch; the socket must
// outlive it. Not thread-safe.
class disconnect_monitor
{
public:
    disconnect_monitor(boost::asio::ip::tcp::socket &socket,
                       std::shared_ptr<cancellation> abandoned)
        : m_socket(socket), m_live(std::make_shared<bool>(true))
    {
        socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                          [&socket, live = m_live, abandoned = std::move(abandoned)](
                              const boost::system::error_code &error) {
                              if (!*live || error)
                                  return;
                              boost::system::error_code failure;
                              if (socket.available(failure) == 0)
                                  abandoned->cancel();
                          });
    }
    ~disconnect_monitor()
    {
        *m_live = false;
        boost::system::error_code ignored;
        m_socket.cancel(ignored);
    }
    disconnect_monitor(const disconnect_monitor &) = delete;
    disconnect_monitor &operator=(const disconnect_monitor &) = delete;

private:
    boost::asio::ip::tcp::socket &m_socket;
    std::shared_ptr<bool> m_live;
};

} // namespace gooseberrymoor
