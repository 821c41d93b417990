#pragma once

#include "gooseberrymoor/fleet/fleet_member.h"

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

// A member as the value of its key in the store: JSON.
std::string encodeFleetMember(const fleet_member &member);

// The inverse; the error says what is wrong, for people.
tl::expected<fleet_member, std::string> decodeFleetMember(const std::string &text);

} // namespace gooseberrymoor
