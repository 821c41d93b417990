#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/http/incremental_parser.h"
#include "gooseberrymoor/http/message_framing.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>

namespace gooseberrymoor {

constexpr std::size_t max_receive_bytes = 64ULL * 1024; // at once

// Parses what `buffer` holds of a message and, if that is not enough to get further, receives once
// from `socket` and parses that. Returns an error if the message is malformed or broken off,
// `buffer_overflow` if `buffer` is full, or `end_of_stream` if the connection ended before the
// message. The arguments must outlive the task.
template <typename Parser>
asio::awaitable<boost::system::error_code> readSome(asio::ip::tcp::socket &socket,
                                                    boost::beast::flat_buffer &buffer,
                                                    incremental_parser<Parser> &parser)
{
    boost::system::error_code error = parser.parse(buffer);
    if (error != boost::beast::http::error::need_more)
        co_return error;
    const std::size_t freeBytes = boost::beast::read_size(buffer, max_receive_bytes);
    if (freeBytes == 0)
        co_return boost::beast::http::error::buffer_overflow;
    const auto [receiveError, size]
        = co_await socket.async_read_some(buffer.prepare(freeBytes), as_result);
    buffer.commit(size);
    if (receiveError == asio::error::eof)
        co_return parser.parseEnd();
    if (receiveError)
        co_return receiveError;
    error = parser.parse(buffer);
    co_return error == boost::beast::http::error::need_more ? boost::system::error_code() : error;
}

// Reads the header of a message and none of its body.
template <typename Parser>
asio::awaitable<boost::system::error_code> readHeader(asio::ip::tcp::socket &socket,
                                                      boost::beast::flat_buffer &buffer,
                                                      incremental_parser<Parser> &parser)
{
    parser.get().eager(false);
    while (!parser.isHeaderDone()) {
        if (const auto error = co_await readSome(socket, buffer, parser))
            co_return error;
    }
    co_return boost::system::error_code();
}

// Reads the body of a message after its header.
template <typename Parser>
asio::awaitable<boost::system::error_code> readBody(asio::ip::tcp::socket &socket,
                                                    boost::beast::flat_buffer &buffer,
                                                    incremental_parser<Parser> &parser)
{
    parser.get().eager(true);
    while (!parser.isDone()) {
        if (const auto error = co_await readSome(socket, buffer, parser))
            co_return error;
    }
    co_return boost::system::error_code();
}

// The fields of `header`, a message of Beast, that frame its body. `header` must outlive them.
template <typename Message> framing_fields framingFieldsOf(const Message &header)
{
    namespace http = boost::beast::http;
    constexpr unsigned http_version_1_1 = 11;
    framing_fields fields;
    fields.isHttp10 = header.version() < http_version_1_1;
    for (const auto &field : header) {
        if (field.name() == http::field::transfer_encoding)
            fields.transferEncodings.emplace_back(field.value().data(), field.value().size());
        else if (field.name() == http::field::content_length)
            fields.contentLengths.emplace_back(field.value().data(), field.value().size());
    }
    return fields;
}

// Whether `parser`, which has parsed a header, reads the body as `framing` says.
template <typename Parser> bool isReadAs(const message_framing &framing, const Parser &parser)
{
    const bool hasLength = framing.kind == body_framing::length;
    const auto length = parser.content_length();
    return parser.chunked() == (framing.kind == body_framing::chunked)
        && length.has_value() == hasLength && (!hasLength || *length == framing.length);
}

} // namespace gooseberrymoor
