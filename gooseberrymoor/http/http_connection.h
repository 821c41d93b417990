#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/http/http_failure.h"
#include "gooseberrymoor/http/http_message.h"

#include <tl/expected.hpp>

#include <memory>

namespace gooseberrymoor {

// A client's HTTP/1.1 connection that carries one exchange at a time.
// Not thread-safe; used by one task.
class http_connection
{
public:
    explicit http_connection(asio::any_io_executor executor);
    ~http_connection();
    http_connection(http_connection &&) noexcept;
    http_connection &operator=(http_connection &&) noexcept;

    // Opens the connection to `server`; fails with `not_run`.
    asio::awaitable<tl::expected<void, http_failure>> connect(endpoint server, time_point deadline);

    // Sends `request` and reads its reply. After any failure the connection is closed.
    asio::awaitable<tl::expected<http_reply, http_failure>> exchange(http_request request,
                                                                     time_point deadline);

    // Whether the next exchange can use the connection.
    bool isOpen() const;

    // Whether it is open and the server has neither closed it nor sent what nobody asked for.
    bool isUsable() const;

    // Closes the connection; a waiting exchange fails.
    void close();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

// Connects, exchanges once and closes.
asio::awaitable<tl::expected<http_reply, http_failure>>
exchangeOnce(endpoint server, http_request request, time_point deadline);

} // namespace gooseberrymoor
