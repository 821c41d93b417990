#pragma once

#include "gooseberrymoor/mirror/mirror_update.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace gooseberrymoor {

// Returns the payload of the frame that carries `update` between nodes.
std::vector<std::uint8_t> encodeMirrorUpdate(const mirror_update &update);

// Parses what `encodeMirrorUpdate` returned; empty if the payload is malformed.
std::optional<mirror_update> decodeMirrorUpdate(std::span<const std::uint8_t> payload);

} // namespace gooseberrymoor
