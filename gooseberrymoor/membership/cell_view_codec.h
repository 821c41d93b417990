#pragma once

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

struct cell_view;

// Encodes `view` as JSON, as it is kept in the store. The epoch is not included: it is the revision
// of the store's key.
std::string encodeView(const cell_view &view);

// Decodes the result of `encodeView`. The epoch of the returned view is 0. The error describes
// what is malformed.
tl::expected<cell_view, std::string> decodeView(const std::string &text);

} // namespace gooseberrymoor
