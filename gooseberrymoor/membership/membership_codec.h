#pragma once

#include "gooseberrymoor/peer/message_kind.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gooseberrymoor {

enum class membership_message_kind;
struct frame;
struct membership_message;

// Returns the kind of the frame that carries a membership message of `kind`.
message_kind frameKindOf(membership_message_kind kind);

// Encodes `message` as the payload of a frame. The sender's name is not included, because the
// receiver knows it from the link.
std::vector<std::uint8_t> encodeMembershipMessage(const membership_message &message);

// Decodes a frame received from `peer`. Returns nothing if it is malformed.
std::optional<membership_message> decodeMembershipMessage(const std::string &peer,
                                                          const frame &received);

} // namespace gooseberrymoor
