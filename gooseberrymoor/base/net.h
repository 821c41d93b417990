#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace gooseberrymoor {

namespace asio = boost::asio;

// Completion token for `co_await`: the error code is returned as a value instead of thrown.
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

} // namespace gooseberrymoor
