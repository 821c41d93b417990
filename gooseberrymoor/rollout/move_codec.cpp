#include "gooseberrymoor/rollout/move_codec.h"

#include "gooseberrymoor/store/store_entry.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

std::string textAt(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    if (!value || !value->is_string())
        throw std::invalid_argument(std::string(key) + ": missing or not a string");
    return std::string(value->as_string());
}

int numberAt(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    if (!value || !value->is_int64())
        throw std::invalid_argument(std::string(key) + ": missing or not an integer");
    return static_cast<int>(value->as_int64());
}

wall_time timeAt(const json::object &from, const char *key)
{
    const auto value = parseWallTime(textAt(from, key));
    if (!value)
        throw std::invalid_argument(std::string(key) + ": not an ISO 8601 time");
    return *value;
}

template <typename E> E enumAt(const json::object &from, const char *key)
{
    const auto value = fromName<E>(textAt(from, key));
    if (!value)
        throw std::invalid_argument(std::string(key) + ": unknown value");
    return *value;
}

move_record decodeRecord(const json::object &from)
{
    move_record record;
    record.plan.id = textAt(from, "id");
    record.plan.service = textAt(from, "service");
    record.plan.kind = enumAt<move_kind>(from, "kind");
    record.plan.from = textAt(from, "from");
    record.plan.to = textAt(from, "to");
    record.plan.begin = timeAt(from, "begin");
    record.plan.finishBy = timeAt(from, "finish_by");
    record.state = enumAt<move_state>(from, "state");
    record.step = numberAt(from, "step");
    record.sharePermille = numberAt(from, "share_permille");
    record.totalPermille = numberAt(from, "total_permille");
    record.began = timeAt(from, "began");
    record.stepBegan = timeAt(from, "step_began");
    record.cause.reason = enumAt<rollback_reason>(from, "cause");
    record.cause.route = textAt(from, "cause_route");
    record.cause.detail = textAt(from, "cause_detail");
    return record;
}

} // namespace

std::string movesPrefix(const std::string &cell)
{
    return "/gooseberrymoor/" + cell + "/moves/";
}

std::string movesPrefix(const std::string &cell, const std::string &service)
{
    return movesPrefix(cell) + (service.empty() ? "zones/" : "services/" + service + "/");
}

std::string moveKey(const std::string &cell, const planned_move &move)
{
    return movesPrefix(cell, move.service) + move.id;
}

std::string encodeMove(const move_record &record)
{
    return json::serialize(json::object { { "id", record.plan.id },
                                          { "service", record.plan.service },
                                          { "kind", nameOf(record.plan.kind) },
                                          { "from", record.plan.from },
                                          { "to", record.plan.to },
                                          { "begin", toString(record.plan.begin) },
                                          { "finish_by", toString(record.plan.finishBy) },
                                          { "state", nameOf(record.state) },
                                          { "step", record.step },
                                          { "share_permille", record.sharePermille },
                                          { "total_permille", record.totalPermille },
                                          { "began", toString(record.began) },
                                          { "step_began", toString(record.stepBegan) },
                                          { "cause", nameOf(record.cause.reason) },
                                          { "cause_route", record.cause.route },
                                          { "cause_detail", record.cause.detail } });
}

tl::expected<move_record, std::string> decodeMove(const std::string &text)
{
    try {
        return decodeRecord(json::parse(text).as_object());
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

std::vector<move_record> decodeMoves(const store_read &read, std::vector<std::string> &malformed)
{
    std::vector<move_record> records;
    for (const store_entry &entry : read.entries) {
        auto record = decodeMove(entry.value);
        if (!record) {
            malformed.push_back(entry.key);
            continue;
        }
        record->revision = entry.modRevision;
        records.push_back(std::move(*record));
    }
    return records;
}

} // namespace gooseberrymoor
