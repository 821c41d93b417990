#pragma once

#include "gooseberrymoor/base/request_error.h"
#include "gooseberrymoor/http/http_message.h"

namespace gooseberrymoor {

// A request as it was read from a connection, or why none was. Value type.
struct received_request
{
    http_request request { "", "" };
    unsigned version = 11; // of HTTP, e.g. 11 for HTTP/1.1
    bool keepsAlive = false; // the client goes on using the connection
    error_kind error = error_kind::none; // if set, the client gets an error reply and no other
    std::string detail; // of the error
    bool isConnectionDone = false; // close without a reply
};

} // namespace gooseberrymoor
