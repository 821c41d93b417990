#pragma once

#include "gooseberrymoor/base/net.h"

#include <optional>
#include <string>

namespace gooseberrymoor {

// Source of a reply body that is sent in chunks as they become available.
class http_body_source
{
public:
    virtual ~http_body_source() = default;

    // Waits for the next chunk, which is never empty; nullopt ends the body.
    virtual asio::awaitable<std::optional<std::string>> next() = 0;
};

} // namespace gooseberrymoor
