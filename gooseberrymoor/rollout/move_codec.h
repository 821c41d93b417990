#pragma once

#include "gooseberrymoor/rollout/move_record.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace gooseberrymoor {

struct store_read;

// The key prefix of all moves of `cell`.
std::string movesPrefix(const std::string &cell);

// The key prefix of the moves of `service`, or of the availability zone moves if it is empty.
std::string movesPrefix(const std::string &cell, const std::string &service);

// The key of a move.
std::string moveKey(const std::string &cell, const planned_move &move);

// The JSON text of a move, as stored in the key-value store.
std::string encodeMove(const move_record &record);

// The inverse of `encodeMove`, with revision 0. The error names the invalid field.
tl::expected<move_record, std::string> decodeMove(const std::string &text);

// Decodes all moves from a read of `movesPrefix`. Omits moves that cannot be parsed and appends
// their keys to `malformed`.
std::vector<move_record> decodeMoves(const store_read &read, std::vector<std::string> &malformed);

} // namespace gooseberrymoor
