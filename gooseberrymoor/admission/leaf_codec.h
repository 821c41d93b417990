#pragma once

#include "gooseberrymoor/admission/leaf_message.h"

#include <cstdint>
#include <optional>
#include <span>

namespace gooseberrymoor {

class peer_channel;

// Queues a message on `channel`. Returns its position in the channel, or 0 if it was not accepted.
std::uint64_t sendLeafRequest(peer_channel &channel, const leaf_request &request);
std::uint64_t sendLeafResponse(peer_channel &channel, const leaf_response &response);
std::uint64_t sendLeafCancel(peer_channel &channel, std::uint64_t id);

// Decodes a payload; empty if it is malformed.
std::optional<leaf_request> decodeLeafRequest(std::span<const std::uint8_t> payload);
std::optional<leaf_response> decodeLeafResponse(std::span<const std::uint8_t> payload);
std::optional<std::uint64_t> decodeLeafCancel(std::span<const std::uint8_t> payload);

} // namespace gooseberrymoor
