#include "gooseberrymoor/http/operation_deadline.h"

namespace gooseberrymoor {

struct operation_deadline::state
{
    boost::asio::ip::tcp::socket *socket = nullptr; // null once disarmed
    bool passed = false;
};

operation_deadline::operation_deadline(boost::asio::ip::tcp::socket &socket, time_point deadline)
    : m_timer(socket.get_executor(), deadline),
      m_state(std::make_shared<state>(state { &socket, false }))
{
    m_timer.async_wait([shared = m_state](const boost::system::error_code &error) {
        if (error || !shared->socket)
            return;
        shared->passed = true;
        boost::system::error_code ignored;
        shared->socket->close(ignored);
    });
}

operation_deadline::~operation_deadline()
{
    m_state->socket = nullptr;
}

bool operation_deadline::hasPassed() const
{
    return m_state->passed;
}

} // namespace gooseberrymoor
