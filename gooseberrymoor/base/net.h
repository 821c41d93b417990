#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace gooseberrymoor {

namespace asio = boost::asio;

// Completion token of every wait of a task: the error comes back as a value, not as an exception.
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

} // namespace gooseberrymoor
