#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/operators/exit_code.h"
#include "gooseberrymoor/rollout/sheet.h"
#include "gooseberrymoor/rollout/wall_time.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace gooseberrymoor {

class key_value_store;
struct store_transaction;

// Implements `sheet check` and `sheet apply`. Writes results and errors to `out`, as text or as
// JSON.
class sheet_applier
{
public:
    // References must outlive the object and its coroutines.
    sheet_applier(key_value_store &store, std::string cell, wall_clock wallNow, std::ostream &out,
                  bool json);

    // Reports every error that prevents the sheet `text` from being applied; changes nothing.
    asio::awaitable<exit_code> check(std::string text);

    // Creates a planned move for every row of the sheet `text`, or for none if a row is invalid.
    // Moves that exist already are not changed. Moves are written in transactions of at most 60
    // rows: if a later one fails, those of the earlier ones stay, and applying the sheet again
    // writes the rest.
    asio::awaitable<exit_code> apply(std::string text);

private:
    // A valid sheet, with the data that it was checked against.
    struct checked_sheet
    {
        std::vector<sheet_row> rows;
        std::vector<move_record> knownMoves;
        std::int64_t baseRevision = 0; // revision of the configuration that was checked
    };

    asio::awaitable<tl::expected<checked_sheet, exit_code>> readAndCheck(std::string text);
    asio::awaitable<exit_code> plan(std::vector<planned_move> moves, std::int64_t baseRevision);
    asio::awaitable<exit_code> resolveOutcome(std::vector<planned_move> moves);
    void reportSheetErrors(const std::vector<sheet_error> &errors);
    void reportRows(const checked_sheet &sheet);
    void reportFailure(const std::string &text);

    key_value_store &m_store;
    std::string m_cell;
    wall_clock m_wallNow;
    std::ostream &m_out;
    bool m_json;
};

} // namespace gooseberrymoor
