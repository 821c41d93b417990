#include "gooseberrymoor/rollout/sheet.h"

#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/rollout/csv_document.h"
#include "gooseberrymoor/rollout/move_record.h"
#include "gooseberrymoor/rollout/sheet_column.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>

namespace gooseberrymoor {

namespace {

using column_positions = std::map<sheet_column, std::size_t>;
using error_list = std::vector<sheet_error>;

std::string headerAdvice()
{
    return "write the header service,kind,from,to,begin,finish_by in any order";
}

// Returns the position of each column, or the errors in the header.
tl::expected<column_positions, error_list> parseHeader(const csv_record &header)
{
    column_positions positions;
    error_list errors;
    for (std::size_t i = 0; i < header.fields.size(); ++i) {
        const auto column = fromName<sheet_column>(header.fields[i]);
        if (!column)
            errors.push_back({ header.line, header.fields[i], "unknown column", headerAdvice() });
        else if (!positions.emplace(*column, i).second)
            errors.push_back(
                { header.line, header.fields[i], "duplicate column", "delete one of them" });
    }
    for (const auto &[column, name] : names(sheet_column {})) {
        if (!positions.contains(column))
            errors.push_back(
                { header.line, std::string(name), "column is missing", headerAdvice() });
    }
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return positions;
}

// Parses one row and appends all errors to a list.
class row_parser
{
public:
    row_parser(const csv_record &record, const column_positions &positions, error_list &errors)
        : m_record(record), m_positions(positions), m_errors(errors)
    {
    }

    std::optional<planned_move> parse()
    {
        if (m_record.fields.size() != m_positions.size()) {
            add("",
                "the row has " + std::to_string(m_record.fields.size()) + " fields instead of "
                    + std::to_string(m_positions.size()),
                "write one field for each column of the header");
            return std::nullopt;
        }
        planned_move move;
        move.service = field(sheet_column::service);
        move.from = field(sheet_column::from);
        move.to = field(sheet_column::to);
        parseKind(move);
        move.begin = parseTime(sheet_column::begin);
        move.finishBy = parseTime(sheet_column::finish_by);
        if (m_hasErrors)
            return std::nullopt;
        checkNames(move);
        if (move.finishBy <= move.begin)
            add("finish_by", "must be after begin", "write a later time");
        if (m_hasErrors)
            return std::nullopt;
        move.id = moveIdOf(move);
        return move;
    }

private:
    const std::string &field(sheet_column column) const
    {
        return m_record.fields[m_positions.at(column)];
    }

    void add(const std::string &column, const std::string &problem, const std::string &advice)
    {
        m_errors.push_back({ m_record.line, column, problem, advice });
        m_hasErrors = true;
    }

    void parseKind(planned_move &move)
    {
        const auto kind = fromName<move_kind>(field(sheet_column::kind));
        if (kind)
            move.kind = *kind;
        else
            add("kind", "\"" + field(sheet_column::kind) + "\" is not a kind of move",
                "write version, zone_out or zone_in");
    }

    wall_time parseTime(sheet_column column)
    {
        const auto time = parseWallTime(field(column));
        if (!time)
            add(std::string(nameOf(column)), "\"" + field(column) + "\" is not a time",
                "write an ISO 8601 time such as 2026-12-04T07:30:00Z or 2026-12-04T15:30:00+08:00");
        return time.value_or(wall_time {});
    }

    void requireValue(const char *column, const std::string &value)
    {
        if (value.empty())
            add(column, "must not be empty", "write a name");
    }

    void requireEmpty(const char *column, const std::string &value)
    {
        if (!value.empty())
            add(column, "must be empty for this kind of move", "delete the value");
    }

    void checkNames(const planned_move &move)
    {
        if (move.kind == move_kind::version) {
            requireValue("service", move.service);
            requireValue("from", move.from);
            requireValue("to", move.to);
            if (move.from == move.to)
                add("to", "is the same version as in column from", "write another version");
            return;
        }
        const bool isZoneOut = move.kind == move_kind::zone_out;
        requireEmpty("service", move.service);
        requireValue(isZoneOut ? "from" : "to", move.zone());
        requireEmpty(isZoneOut ? "to" : "from", isZoneOut ? move.to : move.from);
    }

    const csv_record &m_record;
    const column_positions &m_positions;
    error_list &m_errors;
    bool m_hasErrors = false;
};

bool overlap(const planned_move &a, const planned_move &b)
{
    return a.begin < b.finishBy && b.begin < a.finishBy;
}

void checkPairs(const std::vector<sheet_row> &rows, error_list &errors)
{
    for (std::size_t i = 0; i < rows.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const planned_move &later = rows[i].move;
            const planned_move &earlier = rows[j].move;
            const std::string other = "row " + std::to_string(rows[j].row);
            if (later.id == earlier.id)
                errors.push_back(
                    { rows[i].row, "", "duplicate of " + other, "delete one of them" });
            else if (affectSameResource(later, earlier) && overlap(later, earlier))
                errors.push_back({ rows[i].row, "begin", "overlaps in time with " + other,
                                   "set begin to the finish_by of the other row or later, or "
                                   "delete one of them" });
        }
    }
}

bool hasZone(const service_config &service, const std::string &zone)
{
    for (const group_config &group : service.groups) {
        if (std::ranges::find(group.targets, zone, &target_config::availabilityZone)
            != group.targets.end())
            return true;
    }
    return false;
}

// Whether a group of `service` has targets, but none outside `zonesOut`.
bool leavesGroupWithoutTarget(const service_config &service, const std::set<std::string> &zonesOut)
{
    return std::ranges::any_of(service.groups, [&zonesOut](const group_config &group) {
        const auto isOut = [&zonesOut](const target_config &target) {
            return zonesOut.contains(target.availabilityZone);
        };
        return !group.targets.empty() && std::ranges::all_of(group.targets, isOut);
    });
}

void checkVersions(const sheet_row &row, const configuration &current, error_list &errors)
{
    const service_config *service = current.findService(row.move.service);
    if (!service) {
        errors.push_back({ row.row, "service",
                           "service \"" + row.move.service + "\" does not exist",
                           "create the service first, or correct the name" });
        return;
    }
    const std::array names { std::pair("from", &row.move.from), std::pair("to", &row.move.to) };
    for (const auto &[column, version] : names) {
        if (!service->findVersion(*version))
            errors.push_back({ row.row, column, "version \"" + *version + "\" does not exist",
                               "add the version to the service, or correct the name" });
    }
    const version_config *newVersion = service->findVersion(row.move.to);
    if (newVersion && newVersion->blocked)
        errors.push_back({ row.row, "to", "the version is blocked",
                           "plan another version, or unblock it first" });
}

// The availability zones that are out of service at some time during the move of `row`, including
// its own.
std::set<std::string> zonesOutDuring(const sheet_row &row, const std::vector<sheet_row> &rows,
                                     const configuration &current)
{
    std::set<std::string> zones = current.zonesOut;
    for (const sheet_row &other : rows) {
        if (other.move.kind == move_kind::zone_in && other.move.finishBy <= row.move.begin)
            zones.erase(other.move.zone());
    }
    for (const sheet_row &other : rows) {
        if (other.move.kind != move_kind::zone_out || other.move.begin > row.move.begin)
            continue;
        const bool isReturned = std::ranges::any_of(rows, [&](const sheet_row &each) {
            return each.move.kind == move_kind::zone_in && each.move.zone() == other.move.zone()
                && each.move.begin >= other.move.begin && each.move.finishBy <= row.move.begin;
        });
        if (!isReturned)
            zones.insert(other.move.zone());
    }
    return zones;
}

void checkZone(const sheet_row &row, const std::vector<sheet_row> &rows,
               const configuration &current, error_list &errors)
{
    const bool isZoneOut = row.move.kind == move_kind::zone_out;
    const char *column = isZoneOut ? "from" : "to";
    const std::string &zone = row.move.zone();
    const bool known = std::ranges::any_of(
        current.services, [&zone](const auto &each) { return hasZone(each.second, zone); });
    if (!known) {
        errors.push_back({ row.row, column, "no target is in availability zone \"" + zone + "\"",
                           "correct the name" });
        return;
    }
    if (!isZoneOut)
        return;
    const std::set<std::string> out = zonesOutDuring(row, rows, current);
    for (const auto &[name, service] : current.services) {
        if (leavesGroupWithoutTarget(service, out))
            errors.push_back({ row.row, column,
                               "service \"" + name + "\" would have a group without targets",
                               "return another availability zone to service first" });
    }
}

void checkKnownMoves(const sheet_row &row, const std::vector<move_record> &known,
                     error_list &errors)
{
    for (const move_record &other : known) {
        if (!isFinal(other.state) && affectSameResource(row.move, other.plan)
            && overlap(row.move, other.plan))
            errors.push_back({ row.row, "begin", "overlaps in time with move " + other.plan.id,
                               "wait until that move has ended, or plan this one for later" });
    }
}

} // namespace

std::string toString(const sheet_error &error)
{
    const std::string column = error.column.empty() ? "" : ", column " + error.column;
    return "row " + std::to_string(error.row) + column + ": " + error.problem + "; " + error.advice;
}

tl::expected<std::vector<sheet_row>, std::vector<sheet_error>> parseSheet(std::string_view text)
{
    const auto records = parseCsv(text);
    if (!records)
        return tl::unexpected(error_list { { records.error().line, "", records.error().problem,
                                             "quote the field and double the quotes in it" } });
    if (records->empty())
        return tl::unexpected(error_list { { 1, "", "the sheet is empty", headerAdvice() } });
    const auto positions = parseHeader(records->front());
    if (!positions)
        return tl::unexpected(positions.error());
    std::vector<sheet_row> rows;
    error_list errors;
    for (std::size_t i = 1; i < records->size(); ++i) {
        const csv_record &record = (*records)[i];
        if (auto move = row_parser(record, *positions, errors).parse())
            rows.push_back({ record.line, std::move(*move) });
    }
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return rows;
}

std::vector<sheet_error> checkSheet(const std::vector<sheet_row> &rows,
                                    const configuration &current,
                                    const std::vector<move_record> &known, wall_time now)
{
    error_list errors;
    checkPairs(rows, errors);
    for (const sheet_row &row : rows) {
        const bool applied = std::ranges::any_of(
            known, [&row](const move_record &each) { return each.plan.id == row.move.id; });
        if (applied)
            continue;
        if (row.move.finishBy <= now)
            errors.push_back({ row.row, "finish_by", "is in the past", "write a later time" });
        if (row.move.kind == move_kind::version)
            checkVersions(row, current, errors);
        else
            checkZone(row, rows, current, errors);
        checkKnownMoves(row, known, errors);
    }
    return errors;
}

} // namespace gooseberrymoor
