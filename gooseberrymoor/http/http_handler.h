#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/request_error.h"
#include "gooseberrymoor/http/http_message.h"

namespace gooseberrymoor {

// What answers the requests of an `http_server`. Called by the tasks of its connections.
class http_handler
{
public:
    virtual ~http_handler() = default;

    // Answers one request.
    virtual asio::awaitable<http_reply> handle(http_request request) = 0;

    // Answers what was no HTTP request (`bad_request`) or had too large a body (`too_large`);
    // mostly with the reply of an error that has not run.
    virtual http_reply refuse(error_kind kind);

    // A connection was opened; false closes it at once.
    virtual bool onConnectionOpened() { return true; }

    // A connection that was let in has ended.
    virtual void onConnectionClosed() { }
};

} // namespace gooseberrymoor
