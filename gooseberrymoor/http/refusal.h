#pragma once

#include "gooseberrymoor/base/request_error.h"
#include "gooseberrymoor/http/http_message.h"

namespace gooseberrymoor {

// The HTTP status that stands for `kind`.
unsigned httpStatusOf(error_kind kind);

// The reply that tells a caller of `error`: {"error":{"kind","verdict","detail"}}.
http_reply toReply(const request_error &error);

} // namespace gooseberrymoor
