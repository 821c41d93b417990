#pragma once

#include "gooseberrymoor/base/timer.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace gooseberrymoor {

// Closes a socket when a time is reached, so that the operations waiting on it end.
// Leaving its scope disarms it. The socket must outlive it. Not thread-safe.
class operation_deadline
{
public:
    operation_deadline(boost::asio::ip::tcp::socket &socket, time_point when);
    ~operation_deadline();
    operation_deadline(const operation_deadline &) = delete;
    operation_deadline &operator=(const operation_deadline &) = delete;

    // Whether the time was reached and the socket closed.
    bool hasPassed() const;

private:
    struct state;
    timer m_timer;
    std::shared_ptr<state> m_state;
};

} // namespace gooseberrymoor
