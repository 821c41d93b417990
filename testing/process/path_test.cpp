#include "callers.h"
#include "site.h"

#include "gooseberrymoor/base/request_error.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <csignal>

using namespace gooseberrymoor;

namespace {

constexpr int first_port = 25000;
constexpr int slots = 4;
const std::string query_path = "/v1/services/standings/query";

std::string refusalOf(const std::optional<http_reply> &reply)
{
    if (!reply)
        return "no reply";
    const auto error = boost::json::parse(reply->body).at("error");
    return std::string(error.at("kind").as_string()) + " "
        + std::string(error.at("verdict").as_string());
}

} // namespace

TEST_CASE("Three nodes in three availability zones serve callers")
{
    site testSite(first_port);
    testSite.startBackEnds();
    testSite.startNodes(3);

    SUBCASE("with complete answers from one snapshot while the snapshot changes")
    {
        callers load({ testSite.addressOf("n1"), testSite.addressOf("n2") }, 6, 5);
        CHECK(eventually([&] { return load.finishedRequests() > 200; }));
        service_config service = testSite.service();
        service.snapshots.push_back({ "s2", service.snapshots.front().groupOfShard });
        CHECK(testSite.putService(service) == 0);
        CHECK(eventually([&] {
            return testSite.callJson("n1", query_path, R"({"body":"x"})")["snapshot"] == "s2";
        }));
        const int before = load.finishedRequests();
        CHECK(eventually([&] { return load.finishedRequests() > before + 200; }));
        const caller_history history = load.stop();

        CHECK(history.checkAnswers() == std::vector<std::string> {});
        CHECK(history.checkExecutionCounts(executionsByBody(testSite))
              == std::vector<std::string> {});
        CHECK(checkSlots(testSite, slots) == std::vector<std::string> {});
        CHECK(history.failed() == 0);
    }
    SUBCASE("and refuse invalid requests with the kind and verdict")
    {
        CHECK(refusalOf(testSite.call("n1", query_path, "{")) == "bad_request not_run");
        CHECK(refusalOf(testSite.call("n1", "/v1/services/fares/query", "{}"))
              == "unknown_service not_run");
        CHECK(refusalOf(testSite.call("n1", query_path, R"({"shards":["heat-9"]})"))
              == "unknown_shard not_run");
        CHECK(refusalOf(testSite.call("n1", query_path, R"({"timeout_ms":0})"))
              == "deadline_passed not_run");
        CHECK(refusalOf(testSite.call("n1", query_path, std::string(70'000, 'x')))
              == "too_large not_run");
        CHECK(refusalOf(testSite.call("n1", "/nowhere", "{}")) == "bad_request not_run");

        SUBCASE("and still serve valid requests")
        {
            const auto answer = testSite.callJson("n1", query_path, R"({"body":"x"})");
            CHECK(answer.at("uncovered").as_array().empty());
        }
    }
}

TEST_CASE("A node stops gracefully under load without failing a request")
{
    site testSite(first_port);
    testSite.startBackEnds();
    testSite.startNodes(3);
    callers load({ testSite.addressOf("n1"), testSite.addressOf("n2") }, 6, 5);
    CHECK(eventually([&] { return load.finishedRequests() > 200; }));
    testSite.process("n1").sendSignal(SIGTERM);
    CHECK(testSite.process("n1").wait() == 0);
    const int before = load.finishedRequests();
    CHECK(eventually([&] { return load.finishedRequests() > before + 200; }));
    const caller_history history = load.stop();

    CHECK(history.checkAnswers() == std::vector<std::string> {});
    CHECK(history.checkExecutionCounts(executionsByBody(testSite)) == std::vector<std::string> {});
    CHECK(history.failed() == 0);
    CHECK(history.partial() == 0);
}

TEST_CASE("A daemon with invalid settings exits with an error")
{
    site testSite(first_port);
    testSite.startNode("n1", "[colours]\nred = 1\n");
    CHECK(testSite.process("n1").wait() == 2);
    CHECK(testSite.logOf("n1").find("colours.red: unknown key") != std::string::npos);
}
