#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/http/http_message.h"

#include <memory>
#include <string>

namespace gooseberrymoor {

class cancellation;

// One request of a caller, decoded by a front end. Value type.
struct caller_request
{
    std::string attemptId; // the caller's id of this attempt
    std::string method;
    std::string target; // path with the query string
    std::string host;
    http_headers headers; // forwarded unchanged
    std::string body;
    time_point arrived {};
    duration timeLeft { 0 }; // how long the caller waits, from `arrived`
    bool firstOnConnection = false; // the caller opened its connection for it
    std::shared_ptr<cancellation> abandoned; // cancelled when the caller leaves; may be null
};

} // namespace gooseberrymoor
