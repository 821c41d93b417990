#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace gooseberrymoor {

class peer_channel;
struct evidence_window;

// The message that carries a window.
std::vector<std::uint8_t> encodeEvidence(const evidence_window &window);

// Queues a window on `channel`; returns its position there, 0 if it was not taken.
std::uint64_t sendEvidence(peer_channel &channel, const evidence_window &window);

// Reads a window; nothing if the message is malformed or larger than a node makes them.
std::optional<evidence_window> decodeEvidence(std::span<const std::uint8_t> payload);

} // namespace gooseberrymoor
