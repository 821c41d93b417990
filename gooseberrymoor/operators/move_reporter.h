#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/operators/exit_code.h"
#include "gooseberrymoor/rollout/move_record.h"

#include <tl/expected.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace gooseberrymoor {

class key_value_store;

// Implements `moves list` and `moves follow`. Writes one line per move to `out`, as text or as
// JSON.
class move_reporter
{
public:
    // References must outlive the object and its coroutines.
    move_reporter(key_value_store &store, std::string cell, std::ostream &out, bool json);

    // Prints the state of every move.
    asio::awaitable<exit_code> list();

    // Prints each state change of the move `id`, or of all moves if `id` is empty, until they are
    // done or rolled back; returns `failed` if one was rolled back. Reads the store every
    // `pollInterval`, and keeps trying while the store does not answer or holds a malformed move.
    asio::awaitable<exit_code> follow(std::string id, duration pollInterval);

private:
    asio::awaitable<tl::expected<std::vector<move_record>, std::string>> readMoves(std::string id);
    void print(const move_record &record);
    void reportFailure(const std::string &text);

    key_value_store &m_store;
    std::string m_cell;
    std::ostream &m_out;
    bool m_json;
};

} // namespace gooseberrymoor
