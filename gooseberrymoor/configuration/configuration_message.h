#pragma once

#include "gooseberrymoor/store/store_entry.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace gooseberrymoor {

class configuration_keys;

// What nodes tell each other of their configurations: an announcement of the revision in force at
// the sender, a question for a newer one, or the whole configuration. Value type.
struct configuration_message
{
    std::int64_t revision = 0;
    bool asks = false;
    bool reachesStore = false; // whether the sender's last call of the store was answered
    std::vector<store_entry> entries; // of the whole configuration, else empty
};

// The payload of a frame of kind `configuration_update`.
std::vector<std::uint8_t> encodeConfigurationMessage(const configuration_message &message);

// The inverse; nothing if the payload is malformed. The revision is that of the head key, and of
// all other entries too.
std::optional<configuration_message>
decodeConfigurationMessage(std::span<const std::uint8_t> payload);

} // namespace gooseberrymoor
