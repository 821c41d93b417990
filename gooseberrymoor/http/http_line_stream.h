#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/http/http_failure.h"
#include "gooseberrymoor/http/http_message.h"

#include <tl/expected.hpp>

#include <memory>
#include <optional>
#include <string>

namespace gooseberrymoor {

// A client's HTTP/1.1 exchange whose reply comes line by line, for as long as the server likes.
// Not thread-safe; used by one task.
class http_line_stream
{
public:
    explicit http_line_stream(asio::any_io_executor executor);
    ~http_line_stream();

    // Connects to `server` and sends `request`. Returns the status of the reply.
    asio::awaitable<tl::expected<unsigned, http_failure>>
    open(endpoint server, http_request request, time_point deadline);

    // The next line without its end; nothing once the reply has ended.
    asio::awaitable<tl::expected<std::optional<std::string>, http_failure>>
    readLine(time_point deadline);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gooseberrymoor
