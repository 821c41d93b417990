#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrymoor {

// An IP number and a TCP port. Value type.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;
};

// Reads "address:port", or "[address]:port" for IPv6. Nothing for a host name or a bad port.
std::optional<endpoint> parseEndpoint(std::string_view text);

// The inverse of `parseEndpoint`.
std::string toString(const endpoint &value);

} // namespace gooseberrymoor
