#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrymoor {

// An IP address and a TCP port. Value type.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;
};

// Parses "address:port", or "[address]:port" for IPv6. Returns nothing if the host is not an IP
// address or the port is not in 1..65535.
std::optional<endpoint> parseEndpoint(std::string_view text);

// Formats `value` so that `parseEndpoint` reads it back.
std::string toString(const endpoint &value);

} // namespace gooseberrymoor
