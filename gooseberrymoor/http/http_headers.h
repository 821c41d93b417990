#pragma once

#include "gooseberrymoor/http/http_message.h"

#include <string_view>

namespace gooseberrymoor {

// Whether the header field `name` applies to a single connection or to message framing, and so must
// not be forwarded.
bool isHopByHopHeader(std::string_view name);

// Returns the value of the first field named `name`, ignoring case; empty if there is none.
std::string_view headerValue(const http_headers &headers, std::string_view name);

} // namespace gooseberrymoor
