#pragma once

#include "gooseberrymoor/base/request_error.h"
#include "gooseberrymoor/http/http_message.h"

namespace gooseberrymoor {

// Maps `kind` to an HTTP status.
unsigned httpStatusOf(error_kind kind);

// Encodes `error` as an HTTP reply with the body {"error":{"kind","verdict","detail"}}.
http_reply toReply(const request_error &error);

} // namespace gooseberrymoor
