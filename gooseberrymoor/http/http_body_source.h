#pragma once

#include "gooseberrymoor/base/net.h"

#include <optional>
#include <string>

namespace gooseberrymoor {

// The body of a reply that is sent piece by piece, as the pieces come about.
class http_body_source
{
public:
    virtual ~http_body_source() = default;

    // Waits for the next piece, which is not empty; nothing ends the body.
    virtual asio::awaitable<std::optional<std::string>> next() = 0;
};

} // namespace gooseberrymoor
