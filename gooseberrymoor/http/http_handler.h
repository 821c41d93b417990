#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/request_error.h"
#include "gooseberrymoor/http/http_message.h"

#include <string>

namespace gooseberrymoor {

// Handles the requests of an `http_server`. Called by the tasks of its connections.
class http_handler
{
public:
    virtual ~http_handler() = default;

    // Handles one request and returns its reply.
    virtual asio::awaitable<http_reply> handle(http_request request) = 0;

    // Returns the reply to a request that the server could not read: malformed or of a length that
    // is in doubt (`bad_request`), too large (`too_large`, `header_too_large`), too slow
    // (`request_too_slow`), in a coding that the server doesn't know (`not_implemented`), or with a
    // method that it refuses (`method_not_allowed`). By default an error reply with the verdict
    // `not_run`. `detail` is for the caller's developers.
    virtual http_reply refuse(error_kind kind, std::string detail);

    // Called when a connection was accepted; returning false closes it immediately.
    virtual bool onConnectionOpened() { return true; }

    // Called when a connection that `onConnectionOpened` accepted has ended.
    virtual void onConnectionClosed() { }
};

} // namespace gooseberrymoor
