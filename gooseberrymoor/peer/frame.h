#pragma once

#include "gooseberrymoor/peer/message_kind.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace gooseberrymoor {

// A message between nodes. On the wire: a header of 8 bytes, then the FlatBuffers payload.
// Header, big-endian: payload length (4 bytes), message kind (2 bytes), zero (2 bytes).
struct frame
{
    message_kind kind = message_kind::hello;
    std::vector<std::uint8_t> payload;
};

// Reasons for rejecting a frame header.
enum class frame_error {
    none,
    too_long,
    unknown_kind,
};

constexpr name_table<frame_error, 3> names(frame_error)
{
    return { { { frame_error::none, "none" },
               { frame_error::too_long, "too_long" },
               { frame_error::unknown_kind, "unknown_kind" } } };
}

constexpr std::size_t frame_header_bytes = 8;
constexpr std::size_t max_payload_bytes = 4 * 1024 * 1024; // without the header

// A decoded header.
struct frame_header
{
    std::size_t length = 0; // of the payload
    message_kind kind = message_kind::hello;
    frame_error error = frame_error::none;
};

// Appends a frame with header and `payload` to `out`.
void appendFrame(std::vector<std::uint8_t> &out, message_kind kind,
                 std::span<const std::uint8_t> payload);

// Decodes a frame header; sets its `error` if the header is invalid.
frame_header decodeHeader(std::span<const std::uint8_t, frame_header_bytes> bytes);

} // namespace gooseberrymoor
