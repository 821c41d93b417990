#pragma once

#include "gooseberrymoor/http/http_headers.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The names that the Connection fields of `message`, a message of Beast, list: of fields that apply
// to its connection only.
template <typename Message> std::vector<std::string> connectionOptions(const Message &message)
{
    std::vector<std::string> options;
    for (const auto &field : message) {
        if (field.name() != boost::beast::http::field::connection)
            continue;
        for (const auto &option : boost::beast::http::token_list { field.value() })
            options.emplace_back(option);
    }
    return options;
}

// The fields of `message` that may be forwarded, without `separate`, which the caller keeps apart.
template <typename Message>
http_headers endToEndHeaders(const Message &message, boost::beast::http::field separate)
{
    const std::vector<std::string> options = connectionOptions(message);
    const auto isForwarded = [&](const auto &field) {
        const auto isSame = [&](const std::string &option) {
            return boost::beast::iequals(option, field.name_string());
        };
        return field.name() != separate && !isHopByHopHeader(field.name_string())
            && std::none_of(options.begin(), options.end(), isSame);
    };
    http_headers headers;
    for (const auto &field : message) {
        if (isForwarded(field))
            headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

} // namespace gooseberrymoor
