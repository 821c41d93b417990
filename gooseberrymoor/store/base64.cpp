#include "gooseberrymoor/store/base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace gooseberrymoor {

namespace base64 = boost::beast::detail::base64;

namespace {

// Text whose length is no multiple of four, as malformed text may be, decodes to up to three bytes
// more than Beast's `decoded_size` says.
constexpr std::size_t max_rest_bytes = 3;

} // namespace

std::string toBase64(const std::string &bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes(base64::decoded_size(text.size()) + max_rest_bytes, '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

} // namespace gooseberrymoor
