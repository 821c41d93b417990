#pragma once

#include "gooseberrymoor/base/timer.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace gooseberrymoor {

// Closes a socket at a deadline, so that pending operations on it fail.
// The destructor disarms it. The socket must outlive it. Not thread-safe.
class operation_deadline
{
public:
    operation_deadline(boost::asio::ip::tcp::socket &socket, time_point deadline);
    ~operation_deadline();
    operation_deadline(const operation_deadline &) = delete;
    operation_deadline &operator=(const operation_deadline &) = delete;

    // Whether the deadline was reached and the socket was closed.
    bool hasPassed() const;

private:
    struct state;
    timer m_timer;
    std::shared_ptr<state> m_state;
};

} // namespace gooseberrymoor
