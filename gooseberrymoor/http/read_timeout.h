#pragma once

#include "gooseberrymoor/base/timer.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace gooseberrymoor {

// Cancels pending reads of a socket at a deadline, but leaves the socket open so that a reply can
// still be sent. The destructor disarms it; the socket must outlive it. Not thread-safe.
class read_timeout
{
public:
    read_timeout(boost::asio::ip::tcp::socket &socket, time_point deadline)
        : m_timer(socket.get_executor(), deadline), m_state(std::make_shared<state>())
    {
        m_timer.async_wait([&socket, shared = m_state](const boost::system::error_code &error) {
            if (error || shared->disarmed)
                return;
            shared->passed = true;
            boost::system::error_code ignored;
            socket.cancel(ignored);
        });
    }
    ~read_timeout() { m_state->disarmed = true; }
    read_timeout(const read_timeout &) = delete;
    read_timeout &operator=(const read_timeout &) = delete;

    // Whether the deadline was reached and the reads were cancelled.
    bool hasPassed() const { return m_state->passed; }

private:
    struct state
    {
        bool disarmed = false;
        bool passed = false;
    };
    timer m_timer;
    std::shared_ptr<state> m_state;
};

} // namespace gooseberrymoor
