#pragma once

#include "gooseberrymoor/fleet/fleet_member.h"

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

// Returns the JSON that is stored as the value of the member's key.
std::string encodeFleetMember(const fleet_member &member);

// Parses what `encodeFleetMember` returned; the error is a human-readable reason.
tl::expected<fleet_member, std::string> decodeFleetMember(const std::string &text);

} // namespace gooseberrymoor
