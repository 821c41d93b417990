#include "callers.h"
#include "site.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <map>

using namespace gooseberrymoor;

namespace {

constexpr int first_port = 25200;
constexpr int slots = 4;
constexpr int caller_count = 6;
constexpr int non_idempotent_interval = 5;
constexpr duration longer_than_lease { 5000 }; // the lease lasts 3 s
const std::vector<std::string> no_violations;

// Waits until the callers have finished more than `more` further requests.
bool waitForRequests(const callers &load, int more)
{
    const int before = load.finishedRequests();
    return eventually([&] { return load.finishedRequests() > before + more; });
}

// Whether a query to `node` is answered and covers all shards.
bool coversAll(const site &testSite, const std::string &node)
{
    const auto answer = testSite.callJson(node, "/v1/services/standings/query", R"({"body":"x"})");
    return !answer.empty() && answer.contains("uncovered")
        && answer.at("uncovered").as_array().empty();
}

std::int64_t served(const site &testSite, const std::string &target)
{
    const auto account = testSite.callJson(target, "/account");
    return account.empty() ? -1 : account.at("served").as_int64();
}

// Waits until every target has served further requests, whichever node owned it before.
bool everyTargetServes(const site &testSite)
{
    std::map<std::string, std::int64_t> before;
    for (const std::string &target : testSite.targets())
        before[target] = served(testSite, target);
    return eventually([&] {
        return std::ranges::all_of(
            before, [&](const auto &each) { return served(testSite, each.first) > each.second; });
    });
}

} // namespace

TEST_CASE("A node is killed under load")
{
    site testSite(first_port);
    testSite.startBackEnds();
    testSite.startNodes(3);
    callers load({ testSite.addressOf("n1"), testSite.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    testSite.kill("n3");

    SUBCASE("and the others continue with complete answers")
    {
        CHECK(eventually([&] { return coversAll(testSite, "n1") && coversAll(testSite, "n2"); }));
        CHECK(everyTargetServes(testSite));
        CHECK(waitForRequests(load, 500));
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(history.checkExecutionCounts(executionsByBody(testSite)) == no_violations);
        CHECK(checkSlots(testSite, slots) == no_violations);
    }
    SUBCASE("and is restarted")
    {
        testSite.restart("n3");
        CHECK(testSite.waitUntilReady({ "n1", "n2", "n3" }));
        CHECK(everyTargetServes(testSite));
        CHECK(waitForRequests(load, 500));
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(history.checkExecutionCounts(executionsByBody(testSite)) == no_violations);
        CHECK(checkSlots(testSite, slots) == no_violations);
    }
}

TEST_CASE("A node is frozen under load for longer than its lease and resumes")
{
    site testSite(first_port);
    testSite.startBackEnds(50);
    testSite.startNodes(3);
    callers load({ testSite.addressOf("n1"), testSite.addressOf("n2") }, 24,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    testSite.process("n3").sendSignal(SIGSTOP);
    pauseFor(longer_than_lease);
    testSite.process("n3").sendSignal(SIGCONT);
    CHECK(testSite.waitUntilReady({ "n1", "n2", "n3" }));
    CHECK(everyTargetServes(testSite));
    CHECK(waitForRequests(load, 200));
    const caller_history history = load.stop();
    CHECK(history.checkAnswers() == no_violations);
    CHECK(history.checkExecutionCounts(executionsByBody(testSite)) == no_violations);
    CHECK(checkSlots(testSite, slots) == no_violations);
}

TEST_CASE("The store is unavailable")
{
    site testSite(first_port);
    testSite.startBackEnds();
    testSite.startNodes(3);
    callers load({ testSite.addressOf("n1"), testSite.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    testSite.process("store").sendSignal(SIGSTOP);
    pauseFor(longer_than_lease);

    SUBCASE("and callers see no failed or partial answer")
    {
        CHECK(waitForRequests(load, 500));
        testSite.process("store").sendSignal(SIGCONT);
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(history.checkExecutionCounts(executionsByBody(testSite)) == no_violations);
        CHECK(history.failed() == 0);
        CHECK(history.partial() == 0);
    }
    SUBCASE("while a node is killed, and the other targets of each group cover all shards")
    {
        testSite.kill("n3");
        CHECK(eventually([&] { return coversAll(testSite, "n1") && coversAll(testSite, "n2"); }));
        testSite.process("store").sendSignal(SIGCONT);
        CHECK(waitForRequests(load, 200));
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(history.checkExecutionCounts(executionsByBody(testSite)) == no_violations);
        CHECK(checkSlots(testSite, slots) == no_violations);
    }
}

TEST_CASE("A target is killed under load and restarted")
{
    site testSite(first_port);
    testSite.startBackEnds();
    testSite.startNodes(3);
    callers load({ testSite.addressOf("n1"), testSite.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    testSite.kill("g1-a");
    CHECK(eventually([&] { return coversAll(testSite, "n1"); }));
    CHECK(waitForRequests(load, 200));
    testSite.restart("g1-a");
    CHECK(eventually([&] { return served(testSite, "g1-a") > 10; }));
    const caller_history history = load.stop();
    CHECK(history.checkAnswers() == no_violations);
    CHECK(checkSlots(testSite, slots) == no_violations);
}

TEST_CASE("Open connections to a target stall while new ones work")
{
    site testSite(first_port);
    tcp_relay &relay = testSite.addRelay("g1-a");
    testSite.startBackEnds();
    testSite.startNodes(3);
    callers load({ testSite.addressOf("n1"), testSite.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    relay.silenceOpenConnections();
    const std::int64_t before = served(testSite, "g1-a");
    CHECK(eventually([&] { return served(testSite, "g1-a") > before + 50; }));
    const caller_history history = load.stop();
    CHECK(history.checkAnswers() == no_violations);
    CHECK(history.checkExecutionCounts(executionsByBody(testSite)) == no_violations);
    CHECK(checkSlots(testSite, slots) == no_violations);
}

TEST_CASE("Replies of the store are lost after the calls take effect")
{
    site testSite(first_port);
    tcp_relay &relay = testSite.addRelay("store");
    testSite.startBackEnds();
    testSite.startNodes(2);
    relay.setMode(relay_mode::drop_replies);
    testSite.startNode("n3");
    pauseFor(longer_than_lease);
    relay.setMode(relay_mode::forward);
    CHECK(testSite.waitUntilReady({ "n1", "n2", "n3" }));
    CHECK(coversAll(testSite, "n3"));
}

TEST_CASE("Operators take an availability zone out of service and back in")
{
    site testSite(first_port);
    testSite.startBackEnds();
    testSite.startNodes(3);
    callers load({ testSite.addressOf("n1"), testSite.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    REQUIRE(testSite.runCommand({ "zone", "out", "kl-c" }) == 0);
    const auto directoryHas = [&](const std::string &node) {
        const auto reply = testSite.call("n1", "/v1/entries");
        return reply && reply->body.find(toString(testSite.addressOf(node))) != std::string::npos;
    };
    REQUIRE(eventually([&] { return !directoryHas("n3"); }));
    pauseFor(duration(3000));
    const std::int64_t first = served(testSite, "g1-c");
    const std::int64_t second = served(testSite, "g2-c");
    CHECK(waitForRequests(load, 500));
    CHECK(served(testSite, "g1-c") == first);
    CHECK(served(testSite, "g2-c") == second);

    REQUIRE(testSite.runCommand({ "zone", "in", "kl-c" }) == 0);
    CHECK(eventually([&] { return directoryHas("n3"); }));
    CHECK(eventually([&] { return served(testSite, "g1-c") > first; }));
    const caller_history history = load.stop();
    CHECK(history.checkAnswers() == no_violations);
    CHECK(history.checkExecutionCounts(executionsByBody(testSite)) == no_violations);
    CHECK(checkSlots(testSite, slots) == no_violations);
    CHECK(history.failed() == 0);
    CHECK(history.partial() == 0);
}
