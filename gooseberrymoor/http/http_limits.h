#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cstddef>

namespace gooseberrymoor {

// Limits on the size and duration of requests to an `http_server`, and on its connections.
// Value type.
struct http_limits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    duration headerTimeout { 0 }; // from the first byte of a request to its last; 0: no limit
    duration idleTimeout { 0 }; // between requests; 0: no limit
    std::size_t connections = 0; // open at a time; further ones are closed at once; 0: no limit
};

} // namespace gooseberrymoor
