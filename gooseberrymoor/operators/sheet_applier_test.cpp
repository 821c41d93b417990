#include "gooseberrymoor/operators/sheet_applier.h"

#include "gooseberrymoor/base/manual_clock.h"
#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_keys.h"
#include "gooseberrymoor/configuration/service_config.h"
#include "gooseberrymoor/operators/move_reporter.h"
#include "gooseberrymoor/rollout/move_codec.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <sstream>

using namespace gooseberrymoor;

namespace {

const std::string sheetText = "service,kind,from,to,begin,finish_by\n"
                              "standings,version,v1,v2,2026-12-04T10:00:00Z,2026-12-04T12:00:00Z\n"
                              ",zone_out,kl-a,,2026-12-04T10:00:00Z,2026-12-04T12:00:00Z\n";

// An in-memory store with fault injection for transactions.
class memory_store : public key_value_store
{
public:
    asio::awaitable<tl::expected<store_read, store_error>> readPrefix(std::string prefix) override
    {
        if (down)
            co_return tl::unexpected(store_error {});
        store_read result { revision, {} };
        for (const auto &[key, entry] : entries) {
            if (key.starts_with(prefix))
                result.entries.push_back(entry);
        }
        co_return result;
    }

    asio::awaitable<tl::expected<transaction_result, store_error>>
    transact(store_transaction transaction) override
    {
        ++transactions;
        if (racingKey)
            put(*racingKey, "other operator");
        bool holds = true;
        for (const store_compare &each : transaction.compares) {
            const auto found = entries.find(each.key);
            const std::int64_t present = found == entries.end() ? 0 : found->second.modRevision;
            holds = holds && present == each.modRevision;
        }
        if (holds && !losesRequest) {
            for (const store_put &each : transaction.puts)
                put(each.key, each.value);
        }
        if (losesResponse || losesRequest)
            co_return tl::unexpected(
                store_error { store_failure::timed_out, verdict::may_have_run, "" });
        co_return transaction_result { holds, revision };
    }

    void put(const std::string &key, const std::string &value)
    {
        ++revision;
        entries[key] = { key, value, revision };
    }

    std::map<std::string, store_entry> entries;
    std::int64_t revision = 1;
    int transactions = 0;
    bool down = false;
    bool losesResponse = false;
    bool losesRequest = false;
    // Key that another operator writes just before each transaction.
    std::optional<std::string> racingKey;
};

// A store that contains one service, and an executor to run commands on.
struct operator_fixture
{
    operator_fixture()
    {
        service_config service;
        service.name = "standings";
        service.groups = { { "g1",
                             { { "a", { "127.0.0.1", 24001 }, "kl-a", "v1", false },
                               { "b", { "127.0.0.1", 24002 }, "kl-b", "v2", false } } } };
        service.versions = { { "v1", 1000, false }, { "v2", 0, false } };
        store.put(keys.service("standings"), encodeService(service));
        store.put(keys.head(), "{}");
    }

    exit_code run(asio::awaitable<exit_code> task)
    {
        asio::io_context context(1);
        exit_code code = exit_code::failed;
        asio::co_spawn(context, std::move(task),
                       [&code](std::exception_ptr, exit_code result) { code = result; });
        for (int i = 0; i < 100; ++i) {
            context.poll();
            context.restart();
            clock.advance(duration(1000));
        }
        return code;
    }

    exit_code apply(const std::string &text)
    {
        sheet_applier applier(store, "main", now, out, false);
        return run(applier.apply(text));
    }

    std::size_t moveCount() const
    {
        std::size_t count = 0;
        for (const auto &[key, entry] : store.entries)
            count += key.starts_with(movesPrefix("main")) ? 1 : 0;
        return count;
    }

    manual_clock clock;
    configuration_keys keys { "main" };
    memory_store store;
    std::ostringstream out;
    wall_clock now = [] { return *parseWallTime("2026-12-04T09:00:00Z"); };
};

} // namespace

TEST_CASE("An operator applies a sheet of planned moves")
{
    operator_fixture fixture;
    SUBCASE("after a check that changes nothing")
    {
        sheet_applier applier(fixture.store, "main", fixture.now, fixture.out, false);
        CHECK(fixture.run(applier.check(sheetText)) == exit_code::done);
        CHECK(fixture.moveCount() == 0);
        CHECK(fixture.out.str().find("row 2 ") != std::string::npos);
    }
    SUBCASE("and a move is planned for every row")
    {
        CHECK(fixture.apply(sheetText) == exit_code::done);
        CHECK(fixture.moveCount() == 2);

        SUBCASE("once: applying the same sheet again writes nothing")
        {
            const std::int64_t before = fixture.store.revision;
            CHECK(fixture.apply(sheetText) == exit_code::done);
            CHECK(fixture.store.revision == before);
        }
    }
    SUBCASE("and one invalid row rejects the whole sheet")
    {
        CHECK(fixture.apply(sheetText
                            + "standings,version,v1,v9,2026-12-05T10:00:00Z,"
                              "2026-12-05T12:00:00Z\n")
              == exit_code::bad_input);
        CHECK(fixture.moveCount() == 0);
        CHECK(fixture.out.str().find("row 4, column to") != std::string::npos);
    }
    SUBCASE("and a concurrent configuration change is a conflict")
    {
        fixture.store.racingKey = fixture.keys.head();
        CHECK(fixture.apply(sheetText) == exit_code::conflict);
        CHECK(fixture.moveCount() == 0);
    }
    SUBCASE("and a lost response is resolved by reading the moves back")
    {
        fixture.store.losesResponse = true;
        CHECK(fixture.apply(sheetText) == exit_code::done);
        CHECK(fixture.moveCount() == 2);
    }
    SUBCASE("and a lost request is reported as unknown")
    {
        fixture.store.losesRequest = true;
        CHECK(fixture.apply(sheetText) == exit_code::unknown);
    }
    SUBCASE("and nothing is planned while the store is down")
    {
        fixture.store.down = true;
        CHECK(fixture.apply(sheetText) == exit_code::failed);
        CHECK(fixture.store.transactions == 0);
    }
    SUBCASE("and errors are available as JSON")
    {
        sheet_applier applier(fixture.store, "main", fixture.now, fixture.out, true);
        CHECK(fixture.run(applier.check("service\n")) == exit_code::bad_input);
        CHECK(fixture.out.str().starts_with("{\"faults\":[{\"row\":1,"));
    }
}

TEST_CASE("An operator follows the moves")
{
    operator_fixture fixture;
    REQUIRE(fixture.apply(sheetText) == exit_code::done);
    fixture.out.str("");
    move_reporter reporter(fixture.store, "main", fixture.out, false);
    const auto finish = [&fixture](move_state state) {
        for (auto &[key, entry] : fixture.store.entries) {
            if (!key.starts_with(movesPrefix("main")))
                continue;
            move_record record = *decodeMove(entry.value);
            record.state = state;
            if (state == move_state::rolled_back)
                record.cause = { rollback_reason::latency, "/laps", "slow" };
            fixture.store.put(key, encodeMove(record));
        }
    };
    SUBCASE("as a list")
    {
        CHECK(fixture.run(reporter.list()) == exit_code::done);
        CHECK(fixture.out.str().find("version standings from v1 to v2") != std::string::npos);
        CHECK(fixture.out.str().find(": planned") != std::string::npos);
    }
    SUBCASE("until all moves are done")
    {
        finish(move_state::done);
        CHECK(fixture.run(reporter.follow("", duration(1000))) == exit_code::done);
    }
    SUBCASE("and sees why a move was rolled back")
    {
        finish(move_state::rolled_back);
        CHECK(fixture.run(reporter.follow("", duration(1000))) == exit_code::failed);
        CHECK(fixture.out.str().find("latency on route /laps: slow") != std::string::npos);
    }
    SUBCASE("but cannot follow a move that does not exist")
    {
        CHECK(fixture.run(reporter.follow("none", duration(1000))) == exit_code::bad_input);
    }
}
