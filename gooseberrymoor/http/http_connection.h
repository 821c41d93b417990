#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/http/http_failure.h"
#include "gooseberrymoor/http/http_message.h"
#include "gooseberrymoor/http/reply_limits.h"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace gooseberrymoor {

class operation_deadline;

// HTTP/1.1 client connection for one exchange at a time.
// Not thread-safe; used by one task.
class http_connection
{
public:
    explicit http_connection(asio::any_io_executor executor, reply_limits limits = {});
    ~http_connection();
    http_connection(http_connection &&) noexcept;
    http_connection &operator=(http_connection &&) noexcept;

    // Connects to `server`. A failure always has the outcome `not_run`.
    asio::awaitable<tl::expected<void, http_failure>> connect(endpoint server, time_point deadline);

    // Sends `request` and reads the reply; interim replies (1xx) are skipped. Closes the connection
    // if sending or reading fails, or if the reply exceeds a limit, its status is not one of HTTP,
    // or its length is in doubt (see `replyFraming`).
    asio::awaitable<tl::expected<http_reply, http_failure>> exchange(http_request request,
                                                                     time_point deadline);

    // Whether the connection is open on this side; the server may have closed it.
    bool isOpen() const;

    // Whether the connection is open and the server has neither closed it nor sent unsolicited
    // bytes.
    bool isUsable() const;

    // Closes the connection; a pending exchange fails.
    void close();

private:
    asio::awaitable<tl::expected<http_reply, http_failure>>
    readReply(std::string method, const operation_deadline &limit);

    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

// Performs one exchange on a new connection and closes it.
asio::awaitable<tl::expected<http_reply, http_failure>>
exchangeOnce(endpoint server, http_request request, time_point deadline);

} // namespace gooseberrymoor
