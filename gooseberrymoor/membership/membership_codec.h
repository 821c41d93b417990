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

// The kind of frame that carries messages of `kind`.
message_kind frameKindOf(membership_message_kind kind);

// The payload of `message`'s frame. The sender's name is not in it: the link knows it.
std::vector<std::uint8_t> encodeMembershipMessage(const membership_message &message);

// The message that `peer` sent; nothing if it is malformed.
std::optional<membership_message> decodeMembershipMessage(const std::string &peer,
                                                          const frame &received);

} // namespace gooseberrymoor
