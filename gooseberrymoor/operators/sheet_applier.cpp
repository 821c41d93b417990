#include "gooseberrymoor/operators/sheet_applier.h"

#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/configuration/configuration_follower.h"
#include "gooseberrymoor/configuration/configuration_keys.h"
#include "gooseberrymoor/rollout/move_codec.h"
#include "gooseberrymoor/rollout/move_record.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <boost/json.hpp>

#include <algorithm>
#include <ostream>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

// The platform's store accepts at most 128 operations per transaction; each row takes two.
constexpr std::size_t max_rows_per_transaction = 60;

const move_record *findMove(const std::vector<move_record> &knownMoves, const std::string &id)
{
    const auto found = std::ranges::find_if(
        knownMoves, [&id](const move_record &each) { return each.plan.id == id; });
    return found == knownMoves.end() ? nullptr : &*found;
}

// Creates the records of `moves`, on condition that none of them exists and that the configuration
// is still at the revision that the sheet was checked against.
store_transaction buildPlanTransaction(const std::string &cell,
                                       const std::vector<planned_move> &moves,
                                       std::int64_t baseRevision)
{
    store_transaction transaction;
    transaction.compares.push_back({ configuration_keys(cell).head(), baseRevision });
    for (const planned_move &move : moves) {
        move_record record;
        record.plan = move;
        const std::string key = moveKey(cell, move);
        transaction.compares.push_back({ key, 0 });
        transaction.puts.push_back({ key, encodeMove(record) });
    }
    return transaction;
}

} // namespace

sheet_applier::sheet_applier(key_value_store &store, std::string cell, wall_clock wallNow,
                             std::ostream &out, bool json)
    : m_store(store), m_cell(std::move(cell)), m_wallNow(std::move(wallNow)), m_out(out),
      m_json(json)
{
}

asio::awaitable<exit_code> sheet_applier::check(std::string text)
{
    const auto sheet = co_await readAndCheck(std::move(text));
    if (!sheet)
        co_return sheet.error();
    reportRows(*sheet);
    co_return exit_code::done;
}

asio::awaitable<exit_code> sheet_applier::apply(std::string text)
{
    auto sheet = co_await readAndCheck(std::move(text));
    if (!sheet)
        co_return sheet.error();
    std::vector<planned_move> newMoves;
    for (const sheet_row &row : sheet->rows) {
        if (!findMove(sheet->knownMoves, row.move.id))
            newMoves.push_back(row.move);
    }
    for (std::size_t from = 0; from < newMoves.size(); from += max_rows_per_transaction) {
        const std::size_t to = std::min(newMoves.size(), from + max_rows_per_transaction);
        std::vector<planned_move> batch(newMoves.begin() + static_cast<std::ptrdiff_t>(from),
                                        newMoves.begin() + static_cast<std::ptrdiff_t>(to));
        const exit_code planned = co_await plan(std::move(batch), sheet->baseRevision);
        if (planned != exit_code::done)
            co_return planned;
    }
    reportRows(*sheet);
    co_return exit_code::done;
}

asio::awaitable<tl::expected<sheet_applier::checked_sheet, exit_code>>
sheet_applier::readAndCheck(std::string text)
{
    auto rows = parseSheet(text);
    if (!rows) {
        reportSheetErrors(rows.error());
        co_return tl::unexpected(exit_code::bad_input);
    }
    const configuration_keys keys(m_cell);
    const auto configRead = co_await m_store.readPrefix(keys.root());
    const auto movesRead = co_await m_store.readPrefix(movesPrefix(m_cell));
    if (!configRead || !movesRead) {
        reportFailure("the store cannot be read");
        co_return tl::unexpected(exit_code::failed);
    }
    const auto current = parseConfiguration(*configRead, keys);
    if (!current) {
        reportFailure("the configuration is malformed: " + current.error());
        co_return tl::unexpected(exit_code::failed);
    }
    std::vector<std::string> malformed;
    checked_sheet sheet { std::move(*rows), decodeMoves(*movesRead, malformed), current->revision };
    if (!malformed.empty()) {
        reportFailure("a move in the store is malformed: " + malformed.front());
        co_return tl::unexpected(exit_code::failed);
    }
    const auto errors = checkSheet(sheet.rows, *current, sheet.knownMoves, m_wallNow());
    if (!errors.empty()) {
        reportSheetErrors(errors);
        co_return tl::unexpected(exit_code::bad_input);
    }
    co_return sheet;
}

asio::awaitable<exit_code> sheet_applier::plan(std::vector<planned_move> moves,
                                               std::int64_t baseRevision)
{
    const auto result
        = co_await m_store.transact(buildPlanTransaction(m_cell, moves, baseRevision));
    if (result && result->succeeded)
        co_return exit_code::done;
    if (result) {
        reportFailure("another change came first; apply the sheet again");
        co_return exit_code::conflict;
    }
    if (result.error().outcome == verdict::not_run) {
        reportFailure("the store did not take the sheet: " + result.error().detail);
        co_return exit_code::failed;
    }
    co_return co_await resolveOutcome(std::move(moves));
}

// Reads the moves back after a lost response, to learn whether the transaction was committed.
asio::awaitable<exit_code> sheet_applier::resolveOutcome(std::vector<planned_move> moves)
{
    const auto read = co_await m_store.readPrefix(movesPrefix(m_cell));
    if (!read) {
        reportFailure("the store did not say whether it took the sheet; apply it again");
        co_return exit_code::unknown;
    }
    std::vector<std::string> malformed;
    const auto knownMoves = decodeMoves(*read, malformed);
    const bool applied = std::ranges::all_of(
        moves, [&knownMoves](const planned_move &move) { return findMove(knownMoves, move.id); });
    if (applied)
        co_return exit_code::done;
    reportFailure("the store did not answer and has not taken the sheet so far; apply it again");
    co_return exit_code::unknown;
}

void sheet_applier::reportSheetErrors(const std::vector<sheet_error> &errors)
{
    json::array list;
    for (const sheet_error &entry : errors) {
        if (!m_json)
            m_out << toString(entry) << "\n";
        list.push_back(json::object { { "row", entry.row },
                                      { "column", entry.column },
                                      { "problem", entry.problem },
                                      { "advice", entry.advice } });
    }
    if (m_json)
        m_out << json::serialize(json::object { { "faults", list } }) << "\n";
}

void sheet_applier::reportRows(const checked_sheet &sheet)
{
    json::array list;
    for (const sheet_row &row : sheet.rows) {
        const move_record *knownMove = findMove(sheet.knownMoves, row.move.id);
        const std::string state(nameOf(knownMove ? knownMove->state : move_state::planned));
        if (!m_json)
            m_out << "row " << row.row << " " << row.move.id << " " << state << "\n";
        list.push_back(
            json::object { { "row", row.row }, { "id", row.move.id }, { "state", state } });
    }
    if (m_json)
        m_out << json::serialize(json::object { { "rows", list } }) << "\n";
}

void sheet_applier::reportFailure(const std::string &text)
{
    if (m_json)
        m_out << json::serialize(json::object { { "failure", text } }) << "\n";
    else
        m_out << text << "\n";
}

} // namespace gooseberrymoor
