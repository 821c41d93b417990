#include "caller_history.h"

#include "site.h"

#include <boost/json.hpp>

#include <algorithm>

namespace json = boost::json;
using gooseberrymoor::verdict;

namespace {

constexpr unsigned http_ok = 200;

std::string textAt(const json::object &from, const char *key)
{
    return std::string(from.at(key).as_string());
}

// Describes the first violation in the answer to a query; empty if it is valid.
std::string findQueryViolation(const caller_record &record)
{
    const json::object answer = json::parse(record.reply).as_object();
    const std::string snapshot = textAt(answer, "snapshot");
    const auto &results = answer.at("results").as_array();
    const auto &uncovered = answer.at("uncovered").as_array();
    for (const json::value &each : results) {
        const std::string expected
            = textAt(each.as_object(), "shard") + "@" + snapshot + ":" + record.body;
        if (textAt(each.as_object(), "body") != expected)
            return "a result belongs to another request or snapshot";
    }
    const json::object &coverage = answer.at("coverage").as_object();
    if (coverage.at("answered").to_number<std::size_t>() != results.size())
        return "the number of answered shards in the coverage differs from the results";
    if (coverage.at("shards").to_number<std::size_t>() != results.size() + uncovered.size())
        return "the number of shards in the coverage differs from the results and uncovered shards";
    return "";
}

std::string findShardRequestViolation(const caller_record &record)
{
    const json::object answer = json::parse(record.reply).as_object();
    const std::string expected
        = textAt(answer, "shard") + "@" + textAt(answer, "snapshot") + ":" + record.body;
    return textAt(answer, "body") == expected ? ""
                                              : "the answer belongs to another request or snapshot";
}

} // namespace

caller_history::caller_history(std::vector<caller_record> records) : m_records(std::move(records))
{
}

int caller_history::answered() const
{
    return static_cast<int>(std::ranges::count(m_records, http_ok, &caller_record::status));
}

int caller_history::failed() const
{
    return static_cast<int>(m_records.size()) - answered();
}

int caller_history::partial() const
{
    return static_cast<int>(std::ranges::count_if(m_records, [](const caller_record &record) {
        return record.idempotent && record.status == http_ok
            && record.reply.find("\"uncovered\":[]") == std::string::npos;
    }));
}

std::vector<std::string> caller_history::checkAnswers() const
{
    std::vector<std::string> violations;
    for (const caller_record &record : m_records) {
        if (record.status != http_ok)
            continue;
        const std::string violation
            = record.idempotent ? findQueryViolation(record) : findShardRequestViolation(record);
        if (!violation.empty())
            violations.push_back(violation + ": " + record.body + ": " + record.reply);
    }
    return violations;
}

std::vector<std::string>
caller_history::checkExecutionCounts(const std::map<std::string, int> &runs) const
{
    std::vector<std::string> violations;
    for (const caller_record &record : m_records) {
        if (record.idempotent)
            continue;
        const auto found = runs.find(record.body);
        const int count = found == runs.end() ? 0 : found->second;
        if (count > 1)
            violations.push_back(record.body + " ran " + std::to_string(count) + " times");
        if (record.outcome == verdict::not_run && count != 0)
            violations.push_back(record.body + " was reported as not_run, but ran");
        if (record.outcome == verdict::completed && count != 1)
            violations.push_back(record.body + " was reported as completed, but did not run");
    }
    return violations;
}

std::map<std::string, int> executionsByBody(const site &testSite)
{
    std::map<std::string, int> runs;
    for (const std::string &target : testSite.targets()) {
        const auto account = testSite.callJson(target, "/account");
        if (account.empty())
            continue;
        for (const auto &[body, count] : account.at("runs").as_object())
            runs[std::string(body)] += static_cast<int>(count.as_int64());
    }
    return runs;
}

std::vector<std::string> checkSlots(const site &testSite, int slots)
{
    std::vector<std::string> violations;
    for (const std::string &target : testSite.targets()) {
        const auto account = testSite.callJson(target, "/account");
        if (account.empty())
            continue;
        const auto maxActive = account.at("most_at_once").as_int64();
        if (maxActive > slots)
            violations.push_back(target + " received " + std::to_string(maxActive)
                                 + " concurrent requests");
    }
    return violations;
}

std::vector<std::string> checkColdStarts(const site &testSite)
{
    std::vector<std::string> violations;
    for (const std::string &target : testSite.targets()) {
        const auto account = testSite.callJson(target, "/account");
        if (account.empty())
            continue;
        const auto overloads = account.at("cold_violations").as_int64();
        if (overloads > 0)
            violations.push_back(target + " was overloaded while cold " + std::to_string(overloads)
                                 + " times");
    }
    return violations;
}
