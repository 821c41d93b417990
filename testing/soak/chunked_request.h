#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/http/http_message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberrymoor {

// Whether `sendChunkedRequest` breaks off its request with this seed, so that it must not run.
bool breaksOff(std::uint32_t seed);

// Sends one request with an empty body in chunks to `node`, on a connection of its own. Its header
// and chunks come in pieces that `seed` draws; one in eight requests breaks off at any byte
// (`breaksOff`). Returns the reply; nothing if there was none by `deadline`.
asio::awaitable<std::optional<http_reply>>
sendChunkedRequest(endpoint node, http_request request, std::uint32_t seed, time_point deadline);

// Sends a request whose length is in doubt, with the text of another request, `inner`, for a body.
// Returns how many replies came until the connection was closed or `deadline` had passed.
asio::awaitable<int> sendDoubtfulRequest(endpoint node, http_request outer, std::string inner,
                                         time_point deadline);

// The bytes of a request up to the end of its header. `framing` is the field that frames its body.
std::string encodeHead(const http_request &request, const std::string &framing);

} // namespace gooseberrymoor
