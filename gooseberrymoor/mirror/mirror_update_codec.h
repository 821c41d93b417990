#pragma once

#include "gooseberrymoor/mirror/mirror_update.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace gooseberrymoor {

// An update as the payload of a frame between nodes.
std::vector<std::uint8_t> encodeMirrorUpdate(const mirror_update &update);

// The inverse; nothing if the payload is malformed.
std::optional<mirror_update> decodeMirrorUpdate(std::span<const std::uint8_t> payload);

} // namespace gooseberrymoor
