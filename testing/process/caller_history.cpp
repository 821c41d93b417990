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

// Why the answer to one query is wrong; empty if it is right.
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
            return "a part is not of this request and snapshot";
    }
    const json::object &coverage = answer.at("coverage").as_object();
    if (coverage.at("answered").to_number<std::size_t>() != results.size())
        return "the coverage counts other parts than are there";
    if (coverage.at("shards").to_number<std::size_t>() != results.size() + uncovered.size())
        return "the coverage counts other shards than are named";
    return "";
}

std::string findShardRequestViolation(const caller_record &record)
{
    const json::object answer = json::parse(record.reply).as_object();
    const std::string expected
        = textAt(answer, "shard") + "@" + textAt(answer, "snapshot") + ":" + record.body;
    return textAt(answer, "body") == expected ? "" : "the answer is not of this request";
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
    std::vector<std::string> faults;
    for (const caller_record &record : m_records) {
        if (record.status != http_ok)
            continue;
        const std::string fault
            = record.idempotent ? findQueryViolation(record) : findShardRequestViolation(record);
        if (!fault.empty())
            faults.push_back(fault + ": " + record.body + ": " + record.reply);
    }
    return faults;
}

std::vector<std::string>
caller_history::checkExecutionCounts(const std::map<std::string, int> &runs) const
{
    std::vector<std::string> faults;
    for (const caller_record &record : m_records) {
        if (record.idempotent)
            continue;
        const auto found = runs.find(record.body);
        const int count = found == runs.end() ? 0 : found->second;
        if (count > 1)
            faults.push_back(record.body + " ran " + std::to_string(count) + " times");
        if (record.outcome == verdict::not_run && count != 0)
            faults.push_back(record.body + " was said to have not run, and ran");
        if (record.outcome == verdict::completed && count != 1)
            faults.push_back(record.body + " was said to be completed, and did not run");
    }
    return faults;
}

std::map<std::string, int> executionsByBody(const site &where)
{
    std::map<std::string, int> runs;
    for (const std::string &target : where.targets()) {
        const auto account = where.callJson(target, "/account");
        if (account.empty())
            continue;
        for (const auto &[body, count] : account.at("runs").as_object())
            runs[std::string(body)] += static_cast<int>(count.as_int64());
    }
    return runs;
}

std::vector<std::string> checkSlots(const site &where, int slots)
{
    std::vector<std::string> faults;
    for (const std::string &target : where.targets()) {
        const auto account = where.callJson(target, "/account");
        if (account.empty())
            continue;
        const auto most = account.at("most_at_once").as_int64();
        if (most > slots)
            faults.push_back(target + " was given " + std::to_string(most) + " at one time");
    }
    return faults;
}

std::vector<std::string> checkColdStarts(const site &where)
{
    std::vector<std::string> faults;
    for (const std::string &target : where.targets()) {
        const auto account = where.callJson(target, "/account");
        if (account.empty())
            continue;
        const auto violations = account.at("cold_violations").as_int64();
        if (violations > 0)
            faults.push_back(target + " was overloaded while cold " + std::to_string(violations)
                             + " times");
    }
    return faults;
}
