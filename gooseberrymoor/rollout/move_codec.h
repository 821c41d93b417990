#pragma once

#include "gooseberrymoor/rollout/move_record.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace gooseberrymoor {

struct store_read;

// The key under which all moves of `cell` lie.
std::string movesPrefix(const std::string &cell);

// The key prefix of the moves of one service, or of the availability zones if it is empty.
std::string movesPrefix(const std::string &cell, const std::string &service);

// The key of a move.
std::string moveKey(const std::string &cell, const planned_move &move);

// JSON text of a move, as it lies in the store.
std::string encodeMove(const move_record &record);

// The inverse of `encodeMove`, with revision 0; the error says which field is at fault.
tl::expected<move_record, std::string> decodeMove(const std::string &text);

// All moves of a read of `movesPrefix`; a move that cannot be read is left out and its key is
// added to `malformed`.
std::vector<move_record> decodeMoves(const store_read &read, std::vector<std::string> &malformed);

} // namespace gooseberrymoor
