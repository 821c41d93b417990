#pragma once

#include <string>

namespace gooseberrymoor {

// Encodes `bytes` as Base64 with padding (RFC 4648, standard alphabet).
std::string toBase64(const std::string &bytes);

// Decodes Base64 text; stops at the first character outside the alphabet.
std::string fromBase64(const std::string &text);

} // namespace gooseberrymoor
