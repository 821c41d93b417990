#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <cstdint>
#include <stdexcept>

namespace gooseberrymoor {

// Parses one HTTP message that arrives in pieces of any size, with the same outcome as if it had
// arrived whole. `Parser` is a request or response parser of Beast. Not thread-safe.
//
// Beast requires the bytes of a partial chunk header again, together with those that follow, and
// that these are at least as many as the shortest end of a chunked body has, once it has seen the
// line of the last chunk. This class keeps to that. It also limits the header as a whole: Beast
// limits what it has not parsed yet.
template <typename Parser> class incremental_parser
{
public:
    using error_code = boost::system::error_code;

    // The parser, for its limits and for what it has parsed.
    Parser &get() { return m_parser; }
    const Parser &get() const { return m_parser; }

    // The message as far as it is parsed.
    auto &message() { return m_parser.get(); }

    // Sets the largest size of the header, in bytes.
    void setHeaderLimit(std::uint32_t bytes)
    {
        m_headerLimit = bytes;
        m_parser.header_limit(bytes);
    }

    bool isHeaderDone() const { return m_parser.is_header_done(); }
    bool isDone() const { return m_parser.is_done(); }

    // Parses and removes what it can from the front of `buffer`. The parser must not be eager
    // before its header is done; the call that ends the header parses nothing of the body. Returns
    // `need_more` if nothing more can be parsed before further bytes have arrived, and another
    // error if the message is malformed. Parses nothing of an unchanged buffer after `need_more`.
    error_code parse(boost::beast::flat_buffer &buffer)
    {
        if (isDone())
            return {};
        if (buffer.size() <= m_unparsedBytes || isShortOfChunkHeader(buffer))
            return boost::beast::http::error::need_more;
        const bool isHeader = !isHeaderDone();
        error_code error;
        const std::size_t parsedBytes = put(buffer, error);
        buffer.consume(parsedBytes);
        m_headerBytes += isHeader ? parsedBytes : 0;
        if (m_headerBytes > m_headerLimit)
            return boost::beast::http::error::header_limit;
        const bool needsMore = error == boost::beast::http::error::need_more;
        m_unparsedBytes = needsMore ? buffer.size() : 0;
        return error;
    }

    // Ends the message because its connection was closed by the other side. Returns no error if
    // that completes the message, `end_of_stream` if no byte of it had arrived, and
    // `partial_message` otherwise.
    error_code parseEnd()
    {
        if (isDone())
            return {};
        if (!m_parser.got_some())
            return boost::beast::http::error::end_of_stream;
        error_code error;
        m_parser.put_eof(error);
        return error;
    }

private:
    // Parses `buffer`; returns how many bytes were parsed.
    std::size_t put(const boost::beast::flat_buffer &buffer, error_code &error)
    {
        try {
            return m_parser.put(buffer.data(), error);
        } catch (const std::length_error &) { // a field is longer than Beast can store
            error = boost::beast::http::error::header_limit;
            return 0;
        }
    }

    // "0" CR LF CR LF
    static constexpr std::size_t shortest_chunked_end_bytes = 5;

    // Whether `buffer` begins with a partial chunk header that no message can end with.
    bool isShortOfChunkHeader(const boost::beast::flat_buffer &buffer) const
    {
        return isHeaderDone() && m_unparsedBytes > 0 && buffer.size() < shortest_chunked_end_bytes;
    }

    static constexpr std::uint32_t default_header_limit = 8192; // that of Beast

    Parser m_parser;
    std::uint32_t m_headerLimit = default_header_limit;
    std::size_t m_headerBytes = 0; // parsed
    std::size_t m_unparsedBytes = 0; // at the front of the buffer, seen by the parser before
};

} // namespace gooseberrymoor
