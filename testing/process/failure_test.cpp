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

// Waits until the callers have ended `more` further requests.
bool waitForRequests(const callers &load, int more)
{
    const int before = load.ended();
    return eventually([&] { return load.ended() > before + more; });
}

// A query at `node` covers both shards.
bool coversAll(const site &where, const std::string &node)
{
    const auto answer = where.callJson(node, "/v1/services/standings/query", R"({"body":"x"})");
    return !answer.empty() && answer.contains("uncovered")
        && answer.at("uncovered").as_array().empty();
}

std::int64_t served(const site &where, const std::string &target)
{
    const auto account = where.callJson(target, "/account");
    return account.empty() ? -1 : account.at("served").as_int64();
}

// Every target gets work, whoever owned it before.
bool everyTargetServes(const site &where)
{
    std::map<std::string, std::int64_t> before;
    for (const std::string &target : where.targets())
        before[target] = served(where, target);
    return eventually([&] {
        return std::ranges::all_of(
            before, [&](const auto &each) { return served(where, each.first) > each.second; });
    });
}

} // namespace

TEST_CASE("A node is killed under load")
{
    site where(first_port);
    where.startBackEnds();
    where.startNodes(3);
    callers load({ where.addressOf("n1"), where.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    where.kill("n3");

    SUBCASE("and the others serve on, whole again")
    {
        CHECK(eventually([&] { return coversAll(where, "n1") && coversAll(where, "n2"); }));
        CHECK(everyTargetServes(where));
        CHECK(waitForRequests(load, 500));
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(history.checkExecutionCounts(executionsByBody(where)) == no_violations);
        CHECK(checkSlots(where, slots) == no_violations);
    }
    SUBCASE("and comes back")
    {
        where.restart("n3");
        CHECK(where.waitUntilReady({ "n1", "n2", "n3" }));
        CHECK(everyTargetServes(where));
        CHECK(waitForRequests(load, 500));
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(history.checkExecutionCounts(executionsByBody(where)) == no_violations);
        CHECK(checkSlots(where, slots) == no_violations);
    }
}

TEST_CASE("A node is frozen under load for longer than its lease and wakes")
{
    site where(first_port);
    where.startBackEnds(50);
    where.startNodes(3);
    callers load({ where.addressOf("n1"), where.addressOf("n2") }, 24, non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    where.process("n3").sendSignal(SIGSTOP);
    pauseFor(longer_than_lease);
    where.process("n3").sendSignal(SIGCONT);
    CHECK(where.waitUntilReady({ "n1", "n2", "n3" }));
    CHECK(everyTargetServes(where));
    CHECK(waitForRequests(load, 200));
    const caller_history history = load.stop();
    CHECK(history.checkAnswers() == no_violations);
    CHECK(history.checkExecutionCounts(executionsByBody(where)) == no_violations);
    CHECK(checkSlots(where, slots) == no_violations);
}

TEST_CASE("The store is out")
{
    site where(first_port);
    where.startBackEnds();
    where.startNodes(3);
    callers load({ where.addressOf("n1"), where.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    where.process("store").sendSignal(SIGSTOP);
    pauseFor(longer_than_lease);

    SUBCASE("and callers notice nothing")
    {
        CHECK(waitForRequests(load, 500));
        where.process("store").sendSignal(SIGCONT);
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(history.checkExecutionCounts(executionsByBody(where)) == no_violations);
        CHECK(history.failed() == 0);
        CHECK(history.partial() == 0);
    }
    SUBCASE("while a node dies, and the groups' other targets cover all")
    {
        where.kill("n3");
        CHECK(eventually([&] { return coversAll(where, "n1") && coversAll(where, "n2"); }));
        where.process("store").sendSignal(SIGCONT);
        CHECK(waitForRequests(load, 200));
        const caller_history history = load.stop();
        CHECK(history.checkAnswers() == no_violations);
        CHECK(history.checkExecutionCounts(executionsByBody(where)) == no_violations);
        CHECK(checkSlots(where, slots) == no_violations);
    }
}

TEST_CASE("A target is killed under load and starts again")
{
    site where(first_port);
    where.startBackEnds();
    where.startNodes(3);
    callers load({ where.addressOf("n1"), where.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    where.kill("g1-a");
    CHECK(eventually([&] { return coversAll(where, "n1"); }));
    CHECK(waitForRequests(load, 200));
    where.restart("g1-a");
    CHECK(eventually([&] { return served(where, "g1-a") > 10; }));
    const caller_history history = load.stop();
    CHECK(history.checkAnswers() == no_violations);
    CHECK(checkSlots(where, slots) == no_violations);
}

TEST_CASE("Open connections to a target go silent while new ones work")
{
    site where(first_port);
    tcp_relay &relay = where.addRelay("g1-a");
    where.startBackEnds();
    where.startNodes(3);
    callers load({ where.addressOf("n1"), where.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    relay.silenceOpenConnections();
    const std::int64_t before = served(where, "g1-a");
    CHECK(eventually([&] { return served(where, "g1-a") > before + 50; }));
    const caller_history history = load.stop();
    CHECK(history.checkAnswers() == no_violations);
    CHECK(history.checkExecutionCounts(executionsByBody(where)) == no_violations);
    CHECK(checkSlots(where, slots) == no_violations);
}

TEST_CASE("Answers of the store are lost after their effect")
{
    site where(first_port);
    tcp_relay &relay = where.addRelay("store");
    where.startBackEnds();
    where.startNodes(2);
    relay.setMode(relay_mode::drop_replies);
    where.startNode("n3");
    pauseFor(longer_than_lease);
    relay.setMode(relay_mode::forward);
    CHECK(where.waitUntilReady({ "n1", "n2", "n3" }));
    CHECK(coversAll(where, "n3"));
}

TEST_CASE("Operators take an availability zone out and bring it back")
{
    site where(first_port);
    where.startBackEnds();
    where.startNodes(3);
    callers load({ where.addressOf("n1"), where.addressOf("n2") }, caller_count,
                 non_idempotent_interval);
    REQUIRE(waitForRequests(load, 200));
    REQUIRE(where.runCommand({ "zone", "out", "kl-c" }) == 0);
    const auto directoryHas = [&](const std::string &node) {
        const auto reply = where.call("n1", "/v1/entries");
        return reply && reply->body.find(toString(where.addressOf(node))) != std::string::npos;
    };
    REQUIRE(eventually([&] { return !directoryHas("n3"); }));
    pauseFor(duration(3000));
    const std::int64_t first = served(where, "g1-c");
    const std::int64_t second = served(where, "g2-c");
    CHECK(waitForRequests(load, 500));
    CHECK(served(where, "g1-c") == first);
    CHECK(served(where, "g2-c") == second);

    REQUIRE(where.runCommand({ "zone", "in", "kl-c" }) == 0);
    CHECK(eventually([&] { return directoryHas("n3"); }));
    CHECK(eventually([&] { return served(where, "g1-c") > first; }));
    const caller_history history = load.stop();
    CHECK(history.checkAnswers() == no_violations);
    CHECK(history.checkExecutionCounts(executionsByBody(where)) == no_violations);
    CHECK(checkSlots(where, slots) == no_violations);
    CHECK(history.failed() == 0);
    CHECK(history.partial() == 0);
}
