#include "gooseberrymoor/http/message_framing.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace gooseberrymoor {

namespace {

constexpr unsigned first_final_status = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
constexpr std::string_view blanks = " \t";

message_framing refused(framing_fault fault)
{
    return { body_framing::refused, 0, fault };
}

std::string_view withoutBlanks(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// The position of the comma that ends the first element of `list`, or its size. Commas in quoted
// strings end none.
std::size_t endOfElement(std::string_view list)
{
    bool isQuoted = false;
    for (std::size_t at = 0; at < list.size(); ++at) {
        if (isQuoted && list[at] == '\\')
            ++at;
        else if (list[at] == '"')
            isQuoted = !isQuoted;
        else if (list[at] == ',' && !isQuoted)
            return at;
    }
    return list.size();
}

// Splits `list` at its commas; elements may be empty.
std::vector<std::string_view> elementsOf(std::string_view list)
{
    std::vector<std::string_view> elements;
    while (true) {
        const std::size_t end = endOfElement(list);
        elements.push_back(withoutBlanks(list.substr(0, end)));
        if (end >= list.size())
            return elements;
        list.remove_prefix(end + 1);
    }
}

// The elements of all of `values`, which are lists.
std::vector<std::string_view> elementsOf(const std::vector<std::string_view> &values)
{
    std::vector<std::string_view> all;
    for (const std::string_view value : values) {
        const auto elements = elementsOf(value);
        all.insert(all.end(), elements.begin(), elements.end());
    }
    return all;
}

bool isChunked(std::string_view coding)
{
    return boost::iequals(coding, "chunked");
}

// Whether `coding` is empty, has no name, or is `chunked` with a parameter.
bool isMalformed(std::string_view coding)
{
    const std::string_view name = withoutBlanks(coding.substr(0, coding.find(';')));
    if (name.empty() || name.find_first_of(" \t\"=") != std::string_view::npos)
        return true;
    return isChunked(name) && name.size() != coding.size();
}

message_framing framingByCoding(const framing_fields &fields)
{
    if (fields.isHttp10)
        return refused(framing_fault::coding_in_http_1_0);
    if (!fields.contentLengths.empty())
        return refused(framing_fault::length_and_coding);
    const auto codings = elementsOf(fields.transferEncodings);
    if (std::any_of(codings.begin(), codings.end(), isMalformed))
        return refused(framing_fault::bad_coding);
    const auto chunkedCodings = std::count_if(codings.begin(), codings.end(), isChunked);
    if (chunkedCodings != 1 || !isChunked(codings.back()))
        return refused(framing_fault::chunked_not_last);
    if (codings.size() > 1)
        return refused(framing_fault::unknown_coding);
    return { body_framing::chunked };
}

// The value of a decimal number without a sign; nullopt if it is anything else, or too large.
std::optional<std::uint64_t> parseLength(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || next != end)
        return std::nullopt;
    return value;
}

message_framing framingByLength(const framing_fields &fields)
{
    std::optional<std::uint64_t> length;
    for (const std::string_view text : elementsOf(fields.contentLengths)) {
        const auto value = parseLength(text);
        if (!value)
            return refused(framing_fault::bad_length);
        if (length && *length != *value)
            return refused(framing_fault::conflicting_lengths);
        length = value;
    }
    return { body_framing::length, length.value_or(0) };
}

} // namespace

message_framing requestFraming(const framing_fields &fields)
{
    if (!fields.transferEncodings.empty())
        return framingByCoding(fields);
    if (!fields.contentLengths.empty())
        return framingByLength(fields);
    return {};
}

message_framing replyFraming(const framing_fields &fields, bool hasNoBody)
{
    if (hasNoBody)
        return {};
    const message_framing framing = requestFraming(fields);
    return framing.kind == body_framing::no_body ? message_framing { body_framing::until_close }
                                                 : framing;
}

bool isReplyWithoutBody(std::string_view method, unsigned status)
{
    return method == method_head || status < first_final_status || status == status_no_content
        || status == status_not_modified;
}

} // namespace gooseberrymoor
