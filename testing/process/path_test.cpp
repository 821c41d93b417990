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
    site where(first_port);
    where.startBackEnds();
    where.startNodes(3);

    SUBCASE("with whole answers of one snapshot while the snapshot changes")
    {
        callers load({ where.addressOf("n1"), where.addressOf("n2") }, 6, 5);
        CHECK(eventually([&] { return load.ended() > 200; }));
        service_config service = where.service();
        service.snapshots.push_back({ "s2", service.snapshots.front().groupOfShard });
        CHECK(where.putService(service) == 0);
        CHECK(eventually([&] {
            return where.callJson("n1", query_path, R"({"body":"x"})")["snapshot"] == "s2";
        }));
        const int before = load.ended();
        CHECK(eventually([&] { return load.ended() > before + 200; }));
        const caller_history history = load.stop();

        CHECK(history.checkAnswers() == std::vector<std::string> {});
        CHECK(history.checkExecutionCounts(executionsByBody(where)) == std::vector<std::string> {});
        CHECK(checkSlots(where, slots) == std::vector<std::string> {});
        CHECK(history.failed() == 0);
    }
    SUBCASE("and refuse what they cannot serve, with its verdict")
    {
        CHECK(refusalOf(where.call("n1", query_path, "{")) == "bad_request not_run");
        CHECK(refusalOf(where.call("n1", "/v1/services/fares/query", "{}"))
              == "unknown_service not_run");
        CHECK(refusalOf(where.call("n1", query_path, R"({"shards":["heat-9"]})"))
              == "unknown_shard not_run");
        CHECK(refusalOf(where.call("n1", query_path, R"({"timeout_ms":0})"))
              == "deadline_passed not_run");
        CHECK(refusalOf(where.call("n1", query_path, std::string(70'000, 'x')))
              == "too_large not_run");
        CHECK(refusalOf(where.call("n1", "/nowhere", "{}")) == "bad_request not_run");

        SUBCASE("while others are served on")
        {
            const auto answer = where.callJson("n1", query_path, R"({"body":"x"})");
            CHECK(answer.at("uncovered").as_array().empty());
        }
    }
}

TEST_CASE("A node stops gracefully under load without cutting a request")
{
    site where(first_port);
    where.startBackEnds();
    where.startNodes(3);
    callers load({ where.addressOf("n1"), where.addressOf("n2") }, 6, 5);
    CHECK(eventually([&] { return load.ended() > 200; }));
    where.process("n1").sendSignal(SIGTERM);
    CHECK(where.process("n1").wait() == 0);
    const int before = load.ended();
    CHECK(eventually([&] { return load.ended() > before + 200; }));
    const caller_history history = load.stop();

    CHECK(history.checkAnswers() == std::vector<std::string> {});
    CHECK(history.checkExecutionCounts(executionsByBody(where)) == std::vector<std::string> {});
    CHECK(history.failed() == 0);
    CHECK(history.partial() == 0);
}

TEST_CASE("A daemon with bad settings opens no port")
{
    site where(first_port);
    where.startNode("n1", "[colours]\nred = 1\n");
    CHECK(where.process("n1").wait() == 2);
    CHECK(where.logOf("n1").find("colours.red: unknown key") != std::string::npos);
}
