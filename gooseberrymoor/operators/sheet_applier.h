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

// The commands `sheet check` and `sheet apply`. What they find goes to `out`, as text or as JSON.
class sheet_applier
{
public:
    // References must outlive the object and its tasks.
    sheet_applier(key_value_store &store, std::string cell, wall_clock wallNow, std::ostream &out,
                  bool json);

    // Says all that forbids to apply the sheet `text`; changes nothing.
    asio::awaitable<exit_code> check(std::string text);

    // Plans every row of the sheet `text`, or none if one of them has a fault. Rows that are
    // planned already stay as they are.
    asio::awaitable<exit_code> apply(std::string text);

private:
    // A sheet that may be applied, and what was read to say so.
    struct checked_sheet
    {
        std::vector<sheet_row> rows;
        std::vector<move_record> known;
        std::int64_t basis = 0; // revision of the configuration
    };

    asio::awaitable<tl::expected<checked_sheet, exit_code>> readAndCheck(std::string text);
    asio::awaitable<exit_code> plan(std::vector<planned_move> moves, std::int64_t basis);
    asio::awaitable<exit_code> settle(std::vector<planned_move> moves);
    void reportSheetErrors(const std::vector<sheet_error> &faults);
    void reportRows(const checked_sheet &sheet);
    void reportFailure(const std::string &text);

    key_value_store &m_store;
    std::string m_cell;
    wall_clock m_wallNow;
    std::ostream &m_out;
    bool m_json;
};

} // namespace gooseberrymoor
