#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace gooseberrymoor {

class peer_channel;
struct evidence_window;

// Serializes a window.
std::vector<std::uint8_t> encodeEvidence(const evidence_window &window);

// Queues a window on `channel`. Returns its position in the queue, or 0 if it was rejected.
std::uint64_t sendEvidence(peer_channel &channel, const evidence_window &window);

// Parses a window. Returns nothing if the message is malformed or exceeds the limits of
// `evidence_window.h`.
std::optional<evidence_window> decodeEvidence(std::span<const std::uint8_t> payload);

} // namespace gooseberrymoor
