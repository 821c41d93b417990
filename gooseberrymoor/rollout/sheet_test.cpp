#include "gooseberrymoor/rollout/sheet.h"

#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/rollout/csv_document.h"
#include "gooseberrymoor/rollout/move_codec.h"
#include "gooseberrymoor/rollout/move_record.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace gooseberrymoor;

namespace {

const std::string header = "service,kind,from,to,begin,finish_by\n";
const std::string validRow = "standings,version,v1,v2,2026-12-04T10:00:00Z,2026-12-04T12:00:00Z\n";

configuration currentConfiguration()
{
    configuration current;
    current.revision = 5;
    service_config service;
    service.name = "standings";
    service.groups = { { "g1",
                         { { "a", { "127.0.0.1", 24001 }, "kl-a", "v1", false },
                           { "b", { "127.0.0.1", 24002 }, "kl-b", "v2", false } } } };
    service.versions = { { "v1", 1000, false }, { "v2", 0, false }, { "bad", 0, true } };
    current.services["standings"] = service;
    return current;
}

wall_time timeOf(const char *text)
{
    return *parseWallTime(text);
}

// All errors of a sheet as text; empty if the sheet can be applied.
std::vector<std::string> errorLinesOf(const std::string &text,
                                      const std::vector<move_record> &known = {})
{
    const auto rows = parseSheet(text);
    const auto errors = rows
        ? checkSheet(*rows, currentConfiguration(), known, timeOf("2026-12-04T09:00:00Z"))
        : rows.error();
    std::vector<std::string> lines;
    for (const sheet_error &error : errors)
        lines.push_back(toString(error));
    return lines;
}

// Whether the sheet has exactly one error and its text contains `part`.
bool hasOneError(const std::string &text, const std::string &part)
{
    const auto errors = errorLinesOf(text);
    return errors.size() == 1 && errors.front().find(part) != std::string::npos;
}

std::string quotedField(const std::string &field)
{
    std::string text = "\"";
    for (const char each : field) {
        if (each == '"')
            text += '"';
        text += each;
    }
    return text + "\"";
}

} // namespace

TEST_CASE("Times in a sheet")
{
    SUBCASE("are UTC or have an offset")
    {
        CHECK(timeOf("2026-12-04T10:00:00Z") == timeOf("2026-12-04T18:00:00+08:00"));
        CHECK(timeOf("2026-12-04T10:00Z") == timeOf("2026-12-04T08:30:00.000-01:30"));
        CHECK(toString(timeOf("2024-02-29T23:59:59.123Z")) == "2024-02-29T23:59:59.123Z");
    }
    SUBCASE("and other formats are rejected")
    {
        for (const char *text :
             { "", "2026-12-04", "2026-12-04T10:00:00", "2026-02-30T10:00:00Z",
               "2026-12-04T24:00:00Z", "2026-12-04 10:00:00Z", "2026-12-04T10:00:00Zx",
               "2026-12-04T10:00:00+8", "+026-12-04T10:00:00Z", "2026-13-04T10:00:00Z" })
            CHECK_MESSAGE(!parseWallTime(text), text);
    }
}

TEST_CASE("A sheet is parsed")
{
    SUBCASE("into moves")
    {
        const auto rows = parseSheet(header + validRow);
        REQUIRE(rows);
        REQUIRE(rows->size() == 1);
        CHECK(rows->front().row == 2);
        CHECK(rows->front().move.to == "v2");
        CHECK(errorLinesOf(header + validRow).empty());

        SUBCASE("and the result is the same with a byte-order mark, CRLF, quotes and another "
                "column order")
        {
            const auto other
                = parseSheet("\xEF\xBB\xBF\"kind\",service,to,from,finish_by,begin\r\n\r\n"
                             "version,\"standings\",v2,v1,2026-12-04T20:00+08:00,"
                             "2026-12-04T10:00:00Z\r\n");
            REQUIRE(other);
            CHECK(other->front().move.id == rows->front().move.id);
        }
        SUBCASE("and any change of a row changes the move id")
        {
            const auto other = parseSheet(header
                                          + "standings,version,v1,v2,2026-12-04T10:00:00Z,"
                                            "2026-12-04T12:00:01Z\n");
            REQUIRE(other);
            CHECK(other->front().move.id != rows->front().move.id);
        }
    }
    SUBCASE("with any text in quoted fields")
    {
        CHECK(rc::check([] {
            const auto table = *rc::gen::nonEmpty<std::vector<std::vector<std::string>>>();
            std::string text;
            std::vector<std::vector<std::string>> written;
            for (const auto &fields : table) {
                std::string line;
                for (const std::string &field : fields)
                    line += (line.empty() ? "" : ",") + quotedField(field);
                text += line + "\r\n";
                const bool empty = fields.empty() || (fields.size() == 1 && fields[0].empty());
                if (!empty)
                    written.push_back(fields);
            }
            const auto records = parseCsv(text);
            RC_ASSERT(records.has_value());
            std::vector<std::vector<std::string>> read;
            for (const csv_record &record : *records)
                read.push_back(record.fields);
            RC_ASSERT(read == written);
        }));
    }
    SUBCASE("and errors name the first line of a row with quoted line breaks")
    {
        CHECK(hasOneError(header + "standings,\"ver\nsion\",v1,v2,2026-12-04T10:00:00Z,"
                              + "2026-12-04T12:00:00Z\n",
                          "row 2, column kind"));
        CHECK(hasOneError(header + "\"x\ny\",version,v1,v2,2026-12-04T10:00:00Z,"
                              + "2026-12-04T12:00:00Z\n" + validRow,
                          "row 2, column service"));
    }
}

TEST_CASE("A sheet with errors is rejected, and each error names the row and the column")
{
    SUBCASE("in the file")
    {
        CHECK(hasOneError("", "the sheet is empty"));
        CHECK(hasOneError(header + "\"standings,version\n", "row 2: unterminated quoted field"));
        CHECK(hasOneError(header + "stand\"ings,version\n",
                          "row 2: unterminated quoted field, or a quote inside an unquoted field"));
    }
    SUBCASE("in the header")
    {
        CHECK(hasOneError("service,kind,from,to,begin\n" + validRow,
                          "row 1, column finish_by: column is missing"));
        CHECK(hasOneError("service,kind,from,to,begin,finish_by,kind\n",
                          "column kind: duplicate column"));
        CHECK(errorLinesOf("service,kind,from,to,begin,finish\n").size() == 2);
    }
    SUBCASE("in one field")
    {
        CHECK(hasOneError(header + "standings,version,v1,v2,tomorrow,2026-12-04T12:00:00Z\n",
                          "row 2, column begin: \"tomorrow\" is not a time"));
        CHECK(hasOneError(header
                              + "standings,version,v1,v2,2026-12-04T12:00:00Z,"
                                "2026-12-04T12:00:00Z\n",
                          "column finish_by: must be after begin"));
        CHECK(hasOneError(header + "standings,version,v1\n", "row 2: the row has 3 fields"));
        CHECK(hasOneError(header
                              + "standings,zone_out,kl-a,,2026-12-04T10:00:00Z,"
                                "2026-12-04T12:00:00Z\n",
                          "column service: must be empty for this kind of move"));
    }
    SUBCASE("against the configuration")
    {
        const std::string times = ",2026-12-04T10:00:00Z,2026-12-04T12:00:00Z\n";
        CHECK(hasOneError(header + "fares,version,v1,v2" + times,
                          "service \"fares\" does not exist"));
        CHECK(hasOneError(header + "standings,version,v1,v9" + times,
                          "version \"v9\" does not exist"));
        CHECK(hasOneError(header + "standings,version,v1,bad" + times, "is blocked"));
        CHECK(hasOneError(header + ",zone_out,kl-z," + times, "column from: no target"));
        CHECK(hasOneError(header
                              + "standings,version,v1,v2,2026-12-04T06:00:00Z,"
                                "2026-12-04T07:00:00Z\n",
                          "finish_by: is in the past"));
    }
    SUBCASE("between rows")
    {
        CHECK(hasOneError(header + validRow + validRow, "row 3: duplicate of row 2"));
        CHECK(hasOneError(header + validRow
                              + "standings,version,v2,v1,2026-12-04T11:00:00Z,"
                                "2026-12-04T13:00:00Z\n",
                          "row 3, column begin: overlaps in time with row 2"));
        CHECK(hasOneError(header + ",zone_out,kl-a,,2026-12-04T10:00:00Z,2026-12-04T12:00:00Z\n"
                              + ",zone_in,,kl-a,2026-12-04T11:00:00Z,2026-12-04T13:00:00Z\n",
                          "overlaps in time with row 2"));
        CHECK(hasOneError(header + ",zone_out,kl-a,,2026-12-04T10:00:00Z,2026-12-04T11:00:00Z\n"
                              + ",zone_out,kl-b,,2026-12-04T12:00:00Z,2026-12-04T13:00:00Z\n",
                          "would have a group without targets"));
    }
    SUBCASE("but not for moves that follow one another")
    {
        CHECK(errorLinesOf(header + ",zone_out,kl-a,,2026-12-04T10:00:00Z,2026-12-04T11:00:00Z\n"
                           + ",zone_in,,kl-a,2026-12-04T11:00:00Z,2026-12-04T12:00:00Z\n"
                           + ",zone_out,kl-b,,2026-12-04T12:00:00Z,2026-12-04T13:00:00Z\n")
                  .empty());
        CHECK(errorLinesOf(header + validRow
                           + "standings,version,v2,v1,2026-12-04T12:00:00Z,2026-12-04T13:00:00Z\n")
                  .empty());
    }
}

TEST_CASE("A sheet is applied")
{
    const auto rows = parseSheet(header + validRow);
    REQUIRE(rows);
    move_record record;
    record.plan = rows->front().move;
    SUBCASE("repeatedly, because its rows are already known")
    {
        CHECK(errorLinesOf(header + validRow, { record }).empty());
        const auto later
            = checkSheet(*rows, configuration {}, { record }, timeOf("2027-01-01T00:00:00Z"));
        CHECK(later.empty());
    }
    SUBCASE("and a later sheet must not overlap a move that is not final")
    {
        const std::string other
            = "standings,version,v1,v2,2026-12-04T11:00:00Z,2026-12-04T13:00:00Z\n";
        CHECK(errorLinesOf(header + other, { record }).size() == 1);
        record.state = move_state::done;
        CHECK(errorLinesOf(header + other, { record }).empty());
    }
    SUBCASE("and a move is decoded from the store as it was encoded")
    {
        record.state = move_state::rolled_back;
        record.step = 3;
        record.sharePermille = 100;
        record.totalPermille = 1000;
        record.began = timeOf("2026-12-04T10:00:00.250Z");
        record.stepBegan = timeOf("2026-12-04T10:30:00.001Z");
        record.cause = { rollback_reason::errors, "/laps", "errors: \"many\"" };
        const auto back = decodeMove(encodeMove(record));
        REQUIRE(back);
        CHECK(*back == record);
        CHECK(!decodeMove("{}"));
        CHECK(!decodeMove("[1"));
    }
}
