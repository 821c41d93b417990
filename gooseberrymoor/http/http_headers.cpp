#include "gooseberrymoor/http/http_headers.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>

namespace gooseberrymoor {

namespace {

constexpr std::array<std::string_view, 10> connection_fields {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Proxy-Authenticate"
};

} // namespace

bool isHopByHopHeader(std::string_view name)
{
    return std::any_of(connection_fields.begin(), connection_fields.end(),
                       [name](std::string_view each) { return boost::iequals(each, name); });
}

std::string_view headerValue(const http_headers &headers, std::string_view name)
{
    for (const auto &[each, value] : headers) {
        if (boost::iequals(each, name))
            return value;
    }
    return {};
}

} // namespace gooseberrymoor
