#include "gooseberrymoor/http/http_headers.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace gooseberrymoor {

namespace {

constexpr std::array<std::string_view, 10> hop_by_hop_fields {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Proxy-Authenticate"
};

} // namespace

bool isHopByHopHeader(std::string_view name)
{
    return std::any_of(
        hop_by_hop_fields.begin(), hop_by_hop_fields.end(),
        [name](std::string_view field) { return boost::beast::iequals(field, name); });
}

std::string_view headerValue(const http_headers &headers, std::string_view name)
{
    for (const auto &[field, value] : headers) {
        if (boost::beast::iequals(field, name))
            return value;
    }
    return {};
}

} // namespace gooseberrymoor
