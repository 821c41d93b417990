#pragma once

#include <boost/json.hpp>
#include <tl/expected.hpp>

#include <exception>
#include <string>
#include <string_view>

namespace gooseberrymoor {

// The text at `key` of `object`; throws if there is none.
inline std::string stringField(const boost::json::object &object, std::string_view key)
{
    return std::string(object.at(key).as_string());
}

// What `read` makes of the JSON object in `text`. What `read` or the parser throws becomes the
// error.
template <typename Read>
auto decodeJson(const std::string &text, Read read)
    -> tl::expected<decltype(read(boost::json::object())), std::string>
{
    try {
        const boost::json::value document = boost::json::parse(text);
        return read(document.as_object());
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace gooseberrymoor
