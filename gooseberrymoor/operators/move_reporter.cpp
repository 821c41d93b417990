#include "gooseberrymoor/operators/move_reporter.h"

#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/rollout/move_codec.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <ostream>

namespace gooseberrymoor {

namespace {

bool allFinal(const std::vector<move_record> &records)
{
    return std::ranges::all_of(records,
                               [](const move_record &each) { return isFinal(each.state); });
}

bool anyRolledBack(const std::vector<move_record> &records)
{
    return std::ranges::any_of(
        records, [](const move_record &each) { return each.state == move_state::rolled_back; });
}

} // namespace

move_reporter::move_reporter(key_value_store &store, std::string cell, std::ostream &out, bool json)
    : m_store(store), m_cell(std::move(cell)), m_out(out), m_json(json)
{
}

asio::awaitable<exit_code> move_reporter::list()
{
    const auto records = co_await readMoves("");
    if (!records) {
        reportFailure(records.error());
        co_return exit_code::failed;
    }
    for (const move_record &record : *records)
        print(record);
    co_return exit_code::done;
}

asio::awaitable<exit_code> move_reporter::follow(std::string id, duration pollInterval)
{
    std::map<std::string, std::int64_t> printedRevisions;
    bool lastReadSucceeded = true;
    timer pause(co_await asio::this_coro::executor);
    while (true) {
        const auto records = co_await readMoves(id);
        if (!records && lastReadSucceeded)
            reportFailure(records.error());
        lastReadSucceeded = records.has_value();
        if (records && records->empty() && !id.empty()) {
            reportFailure("there is no move " + id);
            co_return exit_code::bad_input;
        }
        for (const move_record &record : records.value_or(std::vector<move_record> {})) {
            std::int64_t &revision = printedRevisions[record.plan.id];
            if (revision != record.revision)
                print(record);
            revision = record.revision;
        }
        if (records && allFinal(*records))
            co_return anyRolledBack(*records) ? exit_code::failed : exit_code::done;
        pause.expires_at(millis_clock::now() + pollInterval);
        co_await pause.async_wait(as_result);
    }
}

asio::awaitable<tl::expected<std::vector<move_record>, std::string>>
move_reporter::readMoves(std::string id)
{
    const auto read = co_await m_store.readPrefix(movesPrefix(m_cell));
    if (!read)
        co_return tl::unexpected("the store cannot be read: " + read.error().detail);
    std::vector<std::string> malformed;
    auto records = decodeMoves(*read, malformed);
    if (!malformed.empty())
        co_return tl::unexpected("a move in the store is malformed: " + malformed.front());
    std::erase_if(records,
                  [&id](const move_record &each) { return !id.empty() && each.plan.id != id; });
    co_return records;
}

void move_reporter::print(const move_record &record)
{
    if (m_json) {
        m_out << encodeMove(record) << std::endl;
        return;
    }
    const planned_move &plan = record.plan;
    m_out << plan.id << " " << nameOf(plan.kind);
    if (!plan.service.empty())
        m_out << " " << plan.service;
    if (!plan.from.empty())
        m_out << " from " << plan.from;
    if (!plan.to.empty())
        m_out << " to " << plan.to;
    m_out << " by " << toString(plan.finishBy) << ": " << nameOf(record.state);
    if (plan.kind == move_kind::version)
        m_out << ", share " << record.sharePermille << " permille";
    if (record.cause.reason != rollback_reason::none)
        m_out << ", " << nameOf(record.cause.reason) << " on "
              << (record.cause.route.empty() ? "all routes" : "route " + record.cause.route) << ": "
              << record.cause.detail;
    m_out << std::endl;
}

void move_reporter::reportFailure(const std::string &text)
{
    if (m_json)
        m_out << boost::json::serialize(boost::json::object { { "failure", text } }) << std::endl;
    else
        m_out << text << std::endl;
}

} // namespace gooseberrymoor
