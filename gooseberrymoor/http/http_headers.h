#pragma once

#include "gooseberrymoor/http/http_message.h"

#include <string_view>

namespace gooseberrymoor {

// Whether the header field `name` concerns one connection or the framing of a message, so that it
// is not forwarded.
bool isHopByHopHeader(std::string_view name);

// The value of the first field called `name`, in whatever case; empty if there is none.
std::string_view headerValue(const http_headers &headers, std::string_view name);

} // namespace gooseberrymoor
