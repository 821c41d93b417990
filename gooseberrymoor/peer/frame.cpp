#include "gooseberrymoor/peer/frame.h"

#include <boost/endian/conversion.hpp>

namespace gooseberrymoor {

namespace {

bool isKnown(std::uint16_t kind)
{
    for (const auto &[known, name] : names(message_kind {})) {
        if (static_cast<std::uint16_t>(known) == kind)
            return true;
    }
    return false;
}

} // namespace

void appendFrame(std::vector<std::uint8_t> &out, message_kind kind,
                 std::span<const std::uint8_t> payload)
{
    const std::size_t start = out.size();
    out.resize(start + frame_header_bytes);
    std::uint8_t *header = out.data() + start;
    boost::endian::store_big_u32(header, static_cast<std::uint32_t>(payload.size()));
    boost::endian::store_big_u16(header + 4, static_cast<std::uint16_t>(kind));
    boost::endian::store_big_u16(header + 6, 0);
    out.insert(out.end(), payload.begin(), payload.end());
}

frame_header decodeHeader(std::span<const std::uint8_t, frame_header_bytes> bytes)
{
    const std::uint32_t length = boost::endian::load_big_u32(bytes.data());
    const std::uint16_t kind = boost::endian::load_big_u16(bytes.data() + 4);
    frame_header header { length, static_cast<message_kind>(kind), frame_error::none };
    if (length > max_payload_bytes)
        header.error = frame_error::too_long;
    else if (!isKnown(kind))
        header.error = frame_error::unknown_kind;
    return header;
}

} // namespace gooseberrymoor
