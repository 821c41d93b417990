#pragma once

#include "gooseberrymoor/fleet/peer_report.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace gooseberrymoor {

// Encodes and decodes heartbeats between nodes, as FlatBuffers.

std::vector<std::uint8_t> encodeHeartbeat(const peer_report &report);

// Returns nothing if `payload` is not a valid heartbeat.
std::optional<peer_report> decodeHeartbeat(std::span<const std::uint8_t> payload);

} // namespace gooseberrymoor
