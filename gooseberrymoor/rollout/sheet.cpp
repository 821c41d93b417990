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

// Where each column stands, or what is wrong with the header.
tl::expected<column_positions, error_list> parseHeader(const csv_record &header)
{
    column_positions places;
    error_list faults;
    for (std::size_t i = 0; i < header.fields.size(); ++i) {
        const auto column = fromName<sheet_column>(header.fields[i]);
        if (!column)
            faults.push_back({ header.line, header.fields[i], "unknown column", headerAdvice() });
        else if (!places.emplace(*column, i).second)
            faults.push_back(
                { header.line, header.fields[i], "column stands twice", "delete one of them" });
    }
    for (const auto &[column, name] : names(sheet_column {})) {
        if (!places.contains(column))
            faults.push_back(
                { header.line, std::string(name), "column is missing", headerAdvice() });
    }
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return places;
}

// Reads one row; every fault is added to a list.
class row_parser
{
public:
    row_parser(const csv_record &record, const column_positions &places, error_list &faults)
        : m_record(record), m_places(places), m_faults(faults)
    {
    }

    std::optional<planned_move> read()
    {
        if (m_record.fields.size() != m_places.size()) {
            add("",
                "the row has " + std::to_string(m_record.fields.size()) + " fields, not "
                    + std::to_string(m_places.size()),
                "give it one field for each column of the header");
            return std::nullopt;
        }
        planned_move move;
        move.service = field(sheet_column::service);
        move.from = field(sheet_column::from);
        move.to = field(sheet_column::to);
        readKind(move);
        move.begin = readTime(sheet_column::begin);
        move.finishBy = readTime(sheet_column::finish_by);
        if (m_faulty)
            return std::nullopt;
        checkNames(move);
        if (move.finishBy <= move.begin)
            add("finish_by", "not after begin", "give a later time");
        if (m_faulty)
            return std::nullopt;
        move.id = moveIdOf(move);
        return move;
    }

private:
    const std::string &field(sheet_column column) const
    {
        return m_record.fields[m_places.at(column)];
    }

    void add(const std::string &column, const std::string &problem, const std::string &advice)
    {
        m_faults.push_back({ m_record.line, column, problem, advice });
        m_faulty = true;
    }

    void readKind(planned_move &move)
    {
        const auto kind = fromName<move_kind>(field(sheet_column::kind));
        if (kind)
            move.kind = *kind;
        else
            add("kind", "\"" + field(sheet_column::kind) + "\" is no kind of move",
                "write version, zone_out or zone_in");
    }

    wall_time readTime(sheet_column column)
    {
        const auto time = parseWallTime(field(column));
        if (!time)
            add(std::string(nameOf(column)), "\"" + field(column) + "\" is no time",
                "write it like 2026-12-04T07:30:00Z or with an offset like +08:00");
        return time.value_or(wall_time {});
    }

    void require(const char *column, const std::string &value)
    {
        if (value.empty())
            add(column, "is empty", "name it");
    }

    void forbid(const char *column, const std::string &value)
    {
        if (!value.empty())
            add(column, "does not belong to this kind of move", "leave it empty");
    }

    void checkNames(const planned_move &move)
    {
        if (move.kind == move_kind::version) {
            require("service", move.service);
            require("from", move.from);
            require("to", move.to);
            if (move.from == move.to)
                add("to", "is the version it comes from", "name another version");
            return;
        }
        const bool leaves = move.kind == move_kind::zone_out;
        forbid("service", move.service);
        require(leaves ? "from" : "to", move.zone());
        forbid(leaves ? "to" : "from", leaves ? move.to : move.from);
    }

    const csv_record &m_record;
    const column_positions &m_places;
    error_list &m_faults;
    bool m_faulty = false;
};

bool overlap(const planned_move &a, const planned_move &b)
{
    return a.begin < b.finishBy && b.begin < a.finishBy;
}

void checkPairs(const std::vector<sheet_row> &rows, error_list &faults)
{
    for (std::size_t i = 0; i < rows.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const planned_move &later = rows[i].move;
            const planned_move &earlier = rows[j].move;
            const std::string other = "row " + std::to_string(rows[j].row);
            if (later.id == earlier.id)
                faults.push_back({ rows[i].row, "", "repeats " + other, "delete one of them" });
            else if (affectSameResource(later, earlier) && overlap(later, earlier))
                faults.push_back({ rows[i].row, "begin", "overlaps in time with " + other,
                                   "let it begin at the finish_by of the other, or delete one" });
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

// Whether a group of `service` has no target outside `zonesOut`.
bool leavesGroupWithoutTarget(const service_config &service, const std::set<std::string> &zonesOut)
{
    return std::ranges::any_of(service.groups, [&zonesOut](const group_config &group) {
        const auto isOut = [&zonesOut](const target_config &target) {
            return zonesOut.contains(target.availabilityZone);
        };
        return !group.targets.empty() && std::ranges::all_of(group.targets, isOut);
    });
}

void checkVersions(const sheet_row &row, const configuration &current, error_list &faults)
{
    const service_config *service = current.findService(row.move.service);
    if (!service) {
        faults.push_back({ row.row, "service", "there is no service \"" + row.move.service + "\"",
                           "create the service first, or correct the name" });
        return;
    }
    const std::array names { std::pair("from", &row.move.from), std::pair("to", &row.move.to) };
    for (const auto &[column, version] : names) {
        if (!service->findVersion(*version))
            faults.push_back({ row.row, column, "there is no version \"" + *version + "\"",
                               "add the version to the service, or correct the name" });
    }
    const version_config *wanted = service->findVersion(row.move.to);
    if (wanted && wanted->blocked)
        faults.push_back({ row.row, "to", "the version was found bad and is blocked",
                           "plan another version, or unblock it first" });
}

// Availability zones that are out at some time while `row` is under way, itself included.
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
        const bool back = std::ranges::any_of(rows, [&](const sheet_row &each) {
            return each.move.kind == move_kind::zone_in && each.move.zone() == other.move.zone()
                && each.move.begin >= other.move.begin && each.move.finishBy <= row.move.begin;
        });
        if (!back)
            zones.insert(other.move.zone());
    }
    return zones;
}

void checkZone(const sheet_row &row, const std::vector<sheet_row> &rows,
               const configuration &current, error_list &faults)
{
    const bool leaves = row.move.kind == move_kind::zone_out;
    const char *column = leaves ? "from" : "to";
    const std::string &zone = row.move.zone();
    const bool known = std::ranges::any_of(
        current.services, [&zone](const auto &each) { return hasZone(each.second, zone); });
    if (!known) {
        faults.push_back({ row.row, column, "no target is in availability zone \"" + zone + "\"",
                           "correct the name" });
        return;
    }
    if (!leaves)
        return;
    const std::set<std::string> out = zonesOutDuring(row, rows, current);
    for (const auto &[name, service] : current.services) {
        if (leavesGroupWithoutTarget(service, out))
            faults.push_back({ row.row, column,
                               "service \"" + name + "\" would have groups with no target left",
                               "let another availability zone return first" });
    }
}

void checkKnownMoves(const sheet_row &row, const std::vector<move_record> &known,
                     error_list &faults)
{
    for (const move_record &other : known) {
        if (!isFinal(other.state) && affectSameResource(row.move, other.plan)
            && overlap(row.move, other.plan))
            faults.push_back({ row.row, "begin", "overlaps in time with move " + other.plan.id,
                               "wait until that move is done, or plan it for later" });
    }
}

} // namespace

std::string toString(const sheet_error &fault)
{
    const std::string column = fault.column.empty() ? "" : ", column " + fault.column;
    return "row " + std::to_string(fault.row) + column + ": " + fault.problem + "; " + fault.advice;
}

tl::expected<std::vector<sheet_row>, std::vector<sheet_error>> parseSheet(std::string_view text)
{
    const auto records = parseCsv(text);
    if (!records)
        return tl::unexpected(error_list { { records.error().line, "", records.error().problem,
                                             "quote the field and double the quotes in it" } });
    if (records->empty())
        return tl::unexpected(error_list { { 1, "", "the sheet is empty", headerAdvice() } });
    const auto places = parseHeader(records->front());
    if (!places)
        return tl::unexpected(places.error());
    std::vector<sheet_row> rows;
    error_list faults;
    for (std::size_t i = 1; i < records->size(); ++i) {
        const csv_record &record = (*records)[i];
        if (auto move = row_parser(record, *places, faults).read())
            rows.push_back({ record.line, std::move(*move) });
    }
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return rows;
}

std::vector<sheet_error> checkSheet(const std::vector<sheet_row> &rows,
                                    const configuration &current,
                                    const std::vector<move_record> &known, wall_time now)
{
    error_list faults;
    checkPairs(rows, faults);
    for (const sheet_row &row : rows) {
        const bool applied = std::ranges::any_of(
            known, [&row](const move_record &each) { return each.plan.id == row.move.id; });
        if (applied)
            continue;
        if (row.move.finishBy <= now)
            faults.push_back({ row.row, "finish_by", "has passed", "give a later time" });
        if (row.move.kind == move_kind::version)
            checkVersions(row, current, faults);
        else
            checkZone(row, rows, current, faults);
        checkKnownMoves(row, known, faults);
    }
    return faults;
}

} // namespace gooseberrymoor
