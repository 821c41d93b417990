#include "gooseberrymoor/base/endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace gooseberrymoor {

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);

    std::uint16_t port = 0;
    const auto [end, error]
        = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size() || port == 0)
        return std::nullopt;

    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(std::string(host), addressError);
    if (addressError || address.is_v6() != bracketed)
        return std::nullopt;
    return endpoint { std::string(host), port };
}

std::string toString(const endpoint &value)
{
    const bool isV6 = value.address.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + value.address + "]" : value.address;
    return host + ":" + std::to_string(value.port);
}

} // namespace gooseberrymoor
