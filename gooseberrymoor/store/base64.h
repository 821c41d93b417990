#pragma once

#include <string>

namespace gooseberrymoor {

// Base64 with padding.
std::string toBase64(const std::string &bytes);

// The inverse of `toBase64`; ends at the first character that is none of it.
std::string fromBase64(const std::string &text);

} // namespace gooseberrymoor
