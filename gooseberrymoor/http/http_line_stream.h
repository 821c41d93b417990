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

// HTTP/1.1 client exchange whose reply is a stream of lines of unlimited duration.
// Not thread-safe; used by one task.
class http_line_stream
{
public:
    explicit http_line_stream(asio::any_io_executor executor);
    ~http_line_stream();

    // Connects to `server`, sends `request` and reads the reply's header. Returns its status.
    asio::awaitable<tl::expected<unsigned, http_failure>>
    open(endpoint server, http_request request, time_point deadline);

    // Reads the next line, without its newline; nullopt at the end of the reply.
    asio::awaitable<tl::expected<std::optional<std::string>, http_failure>>
    readLine(time_point deadline);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gooseberrymoor
