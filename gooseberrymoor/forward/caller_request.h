#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/http/http_message.h"

#include <memory>
#include <string>

namespace gooseberrymoor {

class cancellation;

// A request from a caller, as decoded by a front end. Value type.
struct caller_request
{
    std::string attemptId; // assigned by the caller
    std::string method;
    std::string target; // path and query string
    std::string host;
    http_headers headers; // forwarded unchanged
    std::string body;
    time_point arrived {};
    duration timeLeft { 0 }; // time until the caller's deadline, counted from `arrived`
    bool firstOnConnection = false; // whether the caller opened the connection for this request
    std::shared_ptr<cancellation> abandoned; // cancelled when the caller disconnects; may be null
};

} // namespace gooseberrymoor
