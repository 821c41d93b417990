#include "callers.h"
#include "site.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <ctime>

using namespace gooseberrymoor;

namespace {

constexpr int first_port = 25400;
constexpr int slots = 4;
constexpr int caller_count = 12;
constexpr int non_idempotent_interval = 5;
const std::vector<std::string> no_violations;

// Targets that bear one request while cold, and fall over if they are given more.
const std::string fragile_while_cold = "cold_slots=1\nwarmup_requests=100\nqueue=0\n";

bool waitForRequests(const callers &load, int more)
{
    const int before = load.ended();
    return eventually([&] { return load.ended() > before + more; });
}

std::int64_t served(const site &where, const std::string &target)
{
    const auto account = where.callJson(target, "/account");
    return account.empty() ? -1 : account.at("served").as_int64();
}

// ISO 8601 of the wall clock, `seconds` from now.
std::string wallTimeIn(int seconds)
{
    const std::time_t when = std::time(nullptr) + seconds;
    std::tm parts {};
    gmtime_r(&when, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

// The service with one target of version v2 in each group, which has no share yet.
service_config withSecondVersion(const site &where)
{
    service_config service = where.service();
    for (group_config &group : service.groups) {
        const std::string name = group.name + "-d";
        group.targets.push_back({ name, where.addressOf(name), "kl-a", "v2", false });
    }
    service.versions.push_back({ "v2", 0, false });
    return service;
}

} // namespace

TEST_CASE("Targets in a cold start are given what they bear")
{
    site where(first_port);
    where.startBackEnds(5, fragile_while_cold);
    where.startNodes(3);
    callers load({ where.addressOf("n1"), where.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 1000));

    SUBCASE("at the start of the site")
    {
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(checkColdStarts(where) == no_violations);
        CHECK(checkSlots(where, slots) == no_violations);
    }
    SUBCASE("and when one is killed and starts again under load")
    {
        where.restart("g1-a");
        CHECK(eventually([&] { return served(where, "g1-a") > 300; }));
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(checkColdStarts(where) == no_violations);
        CHECK(checkSlots(where, slots) == no_violations);
    }
    SUBCASE("and when their owner is killed and another takes over")
    {
        where.kill("n3");
        CHECK(waitForRequests(load, 3000));
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(checkColdStarts(where) == no_violations);
        CHECK(checkSlots(where, slots) == no_violations);
    }
}

TEST_CASE("A target says that it drains")
{
    site where(first_port);
    where.startBackEnds();
    where.startNodes(3);
    callers load({ where.addressOf("n1"), where.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 500));
    REQUIRE(where.call("g1-a", "/control", R"({"draining":1})"));
    pauseFor(duration(5000));
    const std::int64_t before = served(where, "g1-a");
    CHECK(waitForRequests(load, 1000));
    const caller_history history = load.stop();
    CHECK(served(where, "g1-a") == before);
    CHECK(history.checkAnswers() == no_violations);
    CHECK(history.checkExecutionCounts(executionsByBody(where)) == no_violations);
    CHECK(history.failed() == 0);
    CHECK(history.partial() == 0);
}

TEST_CASE("Operators race one another")
{
    site where(first_port);
    where.startBackEnds();
    where.startNodes(2);
    constexpr int rounds = 10;
    constexpr int exitAccepted = 0;
    constexpr int exitConflict = 3;
    int accepted = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::string share = "--share=" + std::to_string(500 + round);
        std::vector<child_process> racing;
        racing.push_back(where.startCommand({ "zone", "out", "kl-a" }));
        racing.push_back(where.startCommand({ "version", "set", "standings", "v1", share }));
        racing.push_back(where.startCommand({ "zone", "in", "kl-a" }));
        for (child_process &command : racing) {
            const int code = command.wait();
            accepted += code == exitAccepted ? 1 : 0;
            CHECK((code == exitAccepted || code == exitConflict));
        }
    }
    CHECK(accepted >= rounds);
    const auto revisionAt = [&](const std::string &node) {
        const auto dump = where.callJson(node, "/v1/dump");
        return dump.empty() ? -1 : dump.at("configuration").at("revision").as_int64();
    };
    CHECK(eventually([&] { return revisionAt("n1") == revisionAt("n2"); }));
}

TEST_CASE("A planned move brings a bad version")
{
    site where(first_port);
    where.startBackEnds();
    where.startTarget("g1-d", 5, "bad_failure_permille=500\n");
    where.startTarget("g2-d", 5, "bad_failure_permille=500\n");
    where.startNodes(3);
    REQUIRE(where.putService(withSecondVersion(where)) == 0);
    callers load({ where.addressOf("n1"), where.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 500));
    const std::string sheet = where.writeFile("sheet.csv",
                                              "service,kind,from,to,begin,finish_by\n"
                                              "standings,version,v1,v2,"
                                                  + wallTimeIn(0) + "," + wallTimeIn(900) + "\n");
    REQUIRE(where.runCommand({ "sheet", "check", sheet }) == 0);
    REQUIRE(where.runCommand({ "sheet", "apply", sheet }) == 0);
    REQUIRE(where.runCommand({ "sheet", "apply", sheet }) == 0);

    constexpr int exitRolledBack = 1;
    CHECK(where.runCommand({ "moves", "follow" }) == exitRolledBack);
    pauseFor(duration(2000));
    const std::int64_t afterRollback = served(where, "g1-d") + served(where, "g2-d");
    CHECK(waitForRequests(load, 1000));
    CHECK(served(where, "g1-d") + served(where, "g2-d") == afterRollback);
    const caller_history history = load.stop();
    MESSAGE("requests that the bad version answered: " << afterRollback << " of "
                                                       << history.records().size() << " queries");
    CHECK(history.checkAnswers() == no_violations);
    CHECK(history.checkExecutionCounts(executionsByBody(where)) == no_violations);
}
