#pragma once

#include "gooseberrymoor/base/cancellation.h"

#include <boost/asio/ip/tcp.hpp>

#include <sys/socket.h>

#include <memory>

namespace gooseberrymoor {

// Cancels `abandoned` if the client closes its connection while its request is processed: a socket
// that becomes readable with nothing to read was closed by the client. Waits only once: if the
// client sends further bytes first, e.g. a pipelined request, a later close is not noticed.
// Monitoring ends with the object's lifetime; the socket must outlive it. Not thread-safe.
class disconnect_monitor
{
public:
    disconnect_monitor(boost::asio::ip::tcp::socket &socket,
                       std::shared_ptr<cancellation> abandoned)
        : m_socket(socket), m_active(std::make_shared<bool>(true))
    {
        if (isClosedByClient(socket)) {
            abandoned->cancel();
            return;
        }
        socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                          [&socket, active = m_active, abandoned = std::move(abandoned)](
                              const boost::system::error_code &error) {
                              if (!*active || error)
                                  return;
                              boost::system::error_code failure;
                              if (socket.available(failure) == 0)
                                  abandoned->cancel();
                          });
    }
    ~disconnect_monitor()
    {
        *m_active = false;
        boost::system::error_code ignored;
        m_socket.cancel(ignored);
    }
    disconnect_monitor(const disconnect_monitor &) = delete;
    disconnect_monitor &operator=(const disconnect_monitor &) = delete;

private:
    // Whether the client closed its connection before the request was read.
    static bool isClosedByClient(boost::asio::ip::tcp::socket &socket)
    {
        char next = 0;
        return ::recv(socket.native_handle(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    boost::asio::ip::tcp::socket &m_socket;
    std::shared_ptr<bool> m_active;
};

} // namespace gooseberrymoor
