#pragma once

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

struct cell_view;

// JSON text of a view's members, as it lies in the store; the epoch is the key's revision.
std::string encodeView(const cell_view &view);

// The inverse of `encodeView`, with epoch 0; the error says what is at fault.
tl::expected<cell_view, std::string> decodeView(const std::string &text);

} // namespace gooseberrymoor
