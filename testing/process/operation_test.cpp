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

// Targets that accept one request while cold and crash if they receive more.
const std::string cold_start_settings = "cold_slots=1\nwarmup_requests=100\nqueue=0\n";

bool waitForRequests(const callers &load, int more)
{
    const int before = load.finishedRequests();
    return eventually([&] { return load.finishedRequests() > before + more; });
}

std::int64_t served(const site &testSite, const std::string &target)
{
    const auto account = testSite.callJson(target, "/account");
    return account.empty() ? -1 : account.at("served").as_int64();
}

// The wall-clock time `seconds` from now, in ISO 8601.
std::string wallTimeFromNow(int seconds)
{
    const std::time_t when = std::time(nullptr) + seconds;
    std::tm parts {};
    gmtime_r(&when, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

// The service with an additional target of version v2 in each group; v2 has no share yet.
service_config withSecondVersion(const site &testSite)
{
    service_config service = testSite.service();
    for (group_config &group : service.groups) {
        const std::string name = group.name + "-d";
        group.targets.push_back({ name, testSite.addressOf(name), "kl-a", "v2", false });
    }
    service.versions.push_back({ "v2", 0, false });
    return service;
}

} // namespace

TEST_CASE("Targets in a cold start receive no more than their cold limit")
{
    site testSite(first_port);
    testSite.startBackEnds(5, cold_start_settings);
    testSite.startNodes(3);
    callers load({ testSite.addressOf("n1"), testSite.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 1000));

    SUBCASE("at the start of the site")
    {
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(checkColdStarts(testSite) == no_violations);
        CHECK(checkSlots(testSite, slots) == no_violations);
    }
    SUBCASE("when one is killed and restarted under load")
    {
        testSite.restart("g1-a");
        CHECK(eventually([&] { return served(testSite, "g1-a") > 300; }));
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(checkColdStarts(testSite) == no_violations);
        CHECK(checkSlots(testSite, slots) == no_violations);
    }
    SUBCASE("when their owner is killed and another node takes over")
    {
        testSite.kill("n3");
        CHECK(waitForRequests(load, 3000));
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(checkColdStarts(testSite) == no_violations);
        CHECK(checkSlots(testSite, slots) == no_violations);
    }
}

TEST_CASE("A target reports that it is draining")
{
    site testSite(first_port);
    testSite.startBackEnds();
    testSite.startNodes(3);
    callers load({ testSite.addressOf("n1"), testSite.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 500));
    REQUIRE(testSite.call("g1-a", "/control", R"({"draining":1})"));
    pauseFor(duration(5000));
    const std::int64_t before = served(testSite, "g1-a");
    CHECK(waitForRequests(load, 1000));
    const caller_history history = load.stop();
    CHECK(served(testSite, "g1-a") == before);
    CHECK(history.checkAnswers() == no_violations);
    CHECK(history.checkExecutionCounts(executionsByBody(testSite)) == no_violations);
    CHECK(history.failed() == 0);
    CHECK(history.partial() == 0);
}

TEST_CASE("Operators change the configuration concurrently")
{
    site testSite(first_port);
    testSite.startBackEnds();
    testSite.startNodes(2);
    constexpr int rounds = 10;
    constexpr int exitAccepted = 0;
    constexpr int exitConflict = 3;
    int accepted = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::string share = "--share=" + std::to_string(500 + round);
        std::vector<child_process> racing;
        racing.push_back(testSite.startCommand({ "zone", "out", "kl-a" }));
        racing.push_back(testSite.startCommand({ "version", "set", "standings", "v1", share }));
        racing.push_back(testSite.startCommand({ "zone", "in", "kl-a" }));
        for (child_process &command : racing) {
            const int code = command.wait();
            accepted += code == exitAccepted ? 1 : 0;
            CHECK((code == exitAccepted || code == exitConflict));
        }
    }
    CHECK(accepted >= rounds);
    const auto revisionAt = [&](const std::string &node) {
        const auto dump = testSite.callJson(node, "/v1/dump");
        return dump.empty() ? -1 : dump.at("configuration").at("revision").as_int64();
    };
    CHECK(eventually([&] { return revisionAt("n1") == revisionAt("n2"); }));
}

TEST_CASE("A planned move to a bad version is rolled back")
{
    site testSite(first_port);
    testSite.startBackEnds();
    testSite.startTarget("g1-d", 5, "bad_failure_permille=500\n");
    testSite.startTarget("g2-d", 5, "bad_failure_permille=500\n");
    testSite.startNodes(3);
    REQUIRE(testSite.putService(withSecondVersion(testSite)) == 0);
    callers load({ testSite.addressOf("n1"), testSite.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 500));
    const std::string sheet
        = testSite.writeFile("sheet.csv",
                             "service,kind,from,to,begin,finish_by\n"
                             "standings,version,v1,v2,"
                                 + wallTimeFromNow(0) + "," + wallTimeFromNow(900) + "\n");
    REQUIRE(testSite.runCommand({ "sheet", "check", sheet }) == 0);
    REQUIRE(testSite.runCommand({ "sheet", "apply", sheet }) == 0);
    REQUIRE(testSite.runCommand({ "sheet", "apply", sheet }) == 0);

    constexpr int exitRolledBack = 1;
    CHECK(testSite.runCommand({ "moves", "follow" }) == exitRolledBack);
    pauseFor(duration(2000));
    const std::int64_t afterRollback = served(testSite, "g1-d") + served(testSite, "g2-d");
    CHECK(waitForRequests(load, 1000));
    CHECK(served(testSite, "g1-d") + served(testSite, "g2-d") == afterRollback);
    const caller_history history = load.stop();
    MESSAGE("requests that the bad version answered: " << afterRollback << " of "
                                                       << history.records().size() << " queries");
    CHECK(history.checkAnswers() == no_violations);
    CHECK(history.checkExecutionCounts(executionsByBody(testSite)) == no_violations);
}
