#include "gooseberrymoor/operators/command_line.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/change_result.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/http/http_server.h"
#include "gooseberrymoor/operators/edit_command.h"
#include "gooseberrymoor/operators/fleet_status.h"
#include "testing/store_stand_in/store_handler.h"

#include <boost/asio/io_context.hpp>
#include <docopt/docopt.h>
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

using namespace gooseberrymoor;

namespace {

const endpoint store_address { "127.0.0.1", 23051 };
const endpoint closed_address { "127.0.0.1", 23052 };
constexpr std::size_t max_body_bytes = 1'400'000;
const std::string standings_file
    = (std::filesystem::path(SOURCE_FOLDER) / "examples/malaysia/standings.json").string();

// The output and the exit code of a command.
struct command_outcome
{
    int code = 0;
    std::string output;
    std::string errors;
};

// Captures what is written to a stream, until its destruction.
class stream_capture
{
public:
    explicit stream_capture(std::ostream &stream)
        : m_stream(stream), m_original(stream.rdbuf(m_text.rdbuf()))
    {
    }
    ~stream_capture() { m_stream.rdbuf(m_original); }
    std::string text() const { return m_text.str(); }

private:
    std::ostringstream m_text;
    std::ostream &m_stream;
    std::streambuf *m_original;
};

command_outcome runCommand(std::vector<std::string> words, const endpoint &store = store_address)
{
    words.push_back("--store=" + toString(store));
    const auto arguments = docopt::docopt_parse(operatorUsage(), words, false);
    stream_capture output(std::cout);
    stream_capture errors(std::cerr);
    command_outcome outcome;
    outcome.code = runOperatorCommand(arguments);
    outcome.output = output.text();
    outcome.errors = errors.text();
    return outcome;
}

// Runs a store stand-in on a separate thread, since commands block the calling one.
class store_thread
{
public:
    store_thread()
    {
        REQUIRE(m_server.start(store_address));
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~store_thread()
    {
        m_context.stop();
        m_thread.join();
    }

    void control(const std::string &faults)
    {
        asio::io_context context(1);
        http_request request("POST", "/control", faults);
        asio::co_spawn(
            context,
            exchangeOnce(store_address, std::move(request), millis_clock::now() + duration(2000)),
            [](std::exception_ptr, tl::expected<http_reply, http_failure>) {});
        context.run();
    }

private:
    asio::io_context m_context { 1 };
    counters m_events;
    store_handler m_handler { m_context.get_executor(), 1 };
    http_server m_server { m_context.get_executor(), m_handler, m_events, max_body_bytes };
    std::thread m_thread;
};

} // namespace

TEST_CASE("Operators manage a cell from the command line")
{
    store_thread store;
    const command_outcome put = runCommand({ "service", "put", standings_file });
    REQUIRE(put.code == 0);
    CHECK(put.output.starts_with("accepted revision "));

    SUBCASE("and take a zone out of service and back in")
    {
        CHECK(runCommand({ "zone", "out", "kl-a" }).code == 0);
        CHECK(runCommand({ "zone", "list" }).output == "kl-a out\nkl-b in\nkl-c in\n");
        CHECK(runCommand({ "zone", "in", "kl-a" }).code == 0);
        CHECK(runCommand({ "zone", "list" }).output == "kl-a in\nkl-b in\nkl-c in\n");
        SUBCASE("and a change without effect is reported as unchanged")
        {
            CHECK(runCommand({ "zone", "in", "kl-a" }).output.starts_with("unchanged"));
        }
    }
    SUBCASE("and edit parts of a service")
    {
        CHECK(runCommand(
                  { "target", "add", "standings", "g1", "g1-d", "10.20.1.99:9000", "kl-a", "v1" })
                  .code
              == 0);
        CHECK(runCommand({ "target", "leave", "standings", "g1-d" }).code == 0);
        CHECK(runCommand({ "target", "return", "standings", "g1-d" }).code == 0);
        CHECK(runCommand({ "target", "remove", "standings", "g1-d" }).code == 0);
        CHECK(runCommand({ "limits", "set", "standings", "--slots=6", "--warmup-ms=9000" }).code
              == 0);
        CHECK(runCommand({ "version", "set", "standings", "v2", "--share=50" }).code == 0);
        CHECK(runCommand({ "version", "set", "standings", "v2", "--block" }).code == 0);
        const auto shown = runCommand({ "service", "show", "standings" });
        CHECK(shown.output.find("\"slots\":6") != std::string::npos);
        CHECK(shown.output.find("\"warmup_ms\":9000") != std::string::npos);
        CHECK(shown.output.find("{\"name\":\"v2\",\"share_permille\":50,\"blocked\":true}")
              != std::string::npos);
        CHECK(shown.output.find("g1-d") == std::string::npos);
    }
    SUBCASE("and remove a service")
    {
        CHECK(runCommand({ "service", "remove", "standings" }).code == 0);
        CHECK(runCommand({ "service", "list" }).output.find("standings") == std::string::npos);
    }
    SUBCASE("and invalid input is reported with its argument and changes nothing")
    {
        const auto before = runCommand({ "service", "list" }).output;
        const auto zone = runCommand({ "zone", "out", "kl-x" });
        CHECK(zone.code == 2);
        CHECK(zone.errors.starts_with("ZONE"));
        CHECK(runCommand({ "limits", "set", "standings", "--slots=many" }).code == 2);
        CHECK(runCommand({ "service", "put", "/nonexistent.json" }).code == 2);
        CHECK(runCommand({ "service", "show", "fares" }).code == 2);
        CHECK(runCommand({ "target", "add", "standings", "g1", "x", "host:1", "kl-a", "v1" }).code
              == 2);
        CHECK(runCommand({ "service", "list" }).output == before);
    }
    SUBCASE("and programs get the output as JSON")
    {
        const auto changed = runCommand({ "zone", "out", "kl-a", "--json" });
        CHECK(changed.output.find("\"state\":\"accepted\"") != std::string::npos);
        CHECK(runCommand({ "zone", "list", "--json" }).output == "{\"zones_out\":[\"kl-a\"]}\n");
    }
    SUBCASE("and a lost response is resolved: the change took effect")
    {
        store.control(R"({"lose_next":1})");
        const auto settled = runCommand({ "zone", "out", "kl-b" });
        CHECK(settled.code == 0);
        CHECK(settled.output.starts_with("accepted"));
        CHECK(runCommand({ "zone", "list" }).output.find("kl-b out") != std::string::npos);
    }
    SUBCASE("and an unreachable store is reported")
    {
        const auto failed = runCommand({ "zone", "list" }, closed_address);
        CHECK(failed.code == 1);
        CHECK(failed.errors.find("the store cannot be read") != std::string::npos);
    }
    SUBCASE("and status counts no nodes while the cell has no members")
    {
        CHECK(runCommand({ "status" }).output.find("in force at 0 of 0 nodes")
              != std::string::npos);
    }
}

TEST_CASE("Scripts can tell the outcomes of a change apart by their exit codes")
{
    CHECK(exitCodeOf({ change_state::accepted, 1, "" }) == exit_code::done);
    CHECK(exitCodeOf({ change_state::not_accepted, 1, "" }) == exit_code::failed);
    CHECK(exitCodeOf({ change_state::conflict, 1, "" }) == exit_code::conflict);
    CHECK(exitCodeOf({ change_state::unknown, 1, "" }) == exit_code::unknown);
}

TEST_CASE("The fleet summary counts nodes by what they answered")
{
    fleet_status fleet;
    fleet.nodes.resize(3);
    fleet.nodes[0].answered = true;
    fleet.nodes[0].revision = 7;
    fleet.nodes[1].answered = true;
    fleet.nodes[1].revision = 6;
    CHECK(fleet.summary(7) == "in force at 1 of 2 nodes; 1 did not answer");
}

TEST_CASE("The commands in the operators' documentation are valid")
{
    std::ifstream page(std::filesystem::path(SOURCE_FOLDER) / "docs/OPERATORS.md");
    const std::string example = "    gooseberrymoor ";
    const std::string session = "    $ gooseberrymoor ";
    int commands = 0;
    for (std::string line; std::getline(page, line);) {
        const bool shown = line.starts_with(session);
        if (!shown && !line.starts_with(example))
            continue;
        std::istringstream rest(line.substr(shown ? session.size() : example.size()));
        std::vector<std::string> words;
        for (std::string word; rest >> word;)
            words.push_back(word);
        INFO(line);
        CHECK_NOTHROW(docopt::docopt_parse(operatorUsage(), words, false));
        ++commands;
    }
    CHECK(commands > 20);
}
