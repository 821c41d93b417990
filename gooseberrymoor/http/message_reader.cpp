#include "gooseberrymoor/http/message_reader.h"

#include <boost/beast/core/read_size.hpp>

namespace gooseberrymoor {

namespace {

constexpr std::size_t max_receive_bytes = 64ULL * 1024; // at once

} // namespace

asio::awaitable<boost::system::error_code> receiveInto(asio::ip::tcp::socket &socket,
                                                       boost::beast::flat_buffer &buffer)
{
    const std::size_t free = boost::beast::read_size(buffer, max_receive_bytes);
    if (free == 0)
        co_return boost::beast::http::error::buffer_overflow;
    const auto [error, size] = co_await socket.async_read_some(buffer.prepare(free), as_result);
    buffer.commit(size);
    co_return error;
}

} // namespace gooseberrymoor
