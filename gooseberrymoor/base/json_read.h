#pragma once

#include <boost/json.hpp>
#include <tl/expected.hpp>

#include <exception>
#include <string>
#include <string_view>

namespace gooseberrymoor {

// Returns the string at `key` of `object`. Throws if the key is missing or its value is no string.
inline std::string stringField(const boost::json::object &object, std::string_view key)
{
    return std::string(object.at(key).as_string());
}

// Parses `text` as a JSON object and returns the result of `read` for it. Returns the message of
// any exception that `read` or the parser throws as the error.
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
