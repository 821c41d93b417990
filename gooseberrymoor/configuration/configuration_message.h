#pragma once

#include "gooseberrymoor/store/store_entry.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace gooseberrymoor {

class configuration_keys;

// A message between nodes about their configurations: an announcement of the sender's active
// revision, a request for a newer configuration, or a complete configuration. Value type.
struct configuration_message
{
    std::int64_t revision = 0;
    bool asks = false; // whether this is a request
    bool reachesStore = false; // whether the sender's last store call was answered
    std::vector<store_entry> entries; // the complete configuration, or empty
};

// Encodes the payload of a `configuration_update` frame.
std::vector<std::uint8_t> encodeConfigurationMessage(const configuration_message &message);

// Decodes such a payload; returns nothing if it is malformed. The revision of the message, which is
// that of the head key, is assigned to all entries.
std::optional<configuration_message>
decodeConfigurationMessage(std::span<const std::uint8_t> payload);

} // namespace gooseberrymoor
