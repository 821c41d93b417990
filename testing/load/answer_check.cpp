#include "answer_check.h"

#include "gooseberrymoor/http/http_message.h"
#include "load_settings.h"

#include <boost/json.hpp>

#include <set>

namespace json = boost::json;
using namespace gooseberrymoor;

namespace {

constexpr unsigned http_ok = 200;

std::string textOf(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t numberOf(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    return value && value->is_int64() ? value->as_int64() : -1;
}

const json::object &objectOf(const json::object &from, const char *key)
{
    static const json::object none;
    const json::value *value = from.if_contains(key);
    return value && value->is_object() ? value->as_object() : none;
}

const json::array &listOf(const json::object &from, const char *key)
{
    static const json::array none;
    const json::value *value = from.if_contains(key);
    return value && value->is_array() ? value->as_array() : none;
}

bool isSnapshotName(const std::string &text)
{
    constexpr std::string_view allowed
        = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.find_first_not_of(allowed) == std::string::npos;
}

// Validates one reply and records its first violation.
class answer_validator
{
public:
    answer_validator(const load_settings &settings, std::string body)
        : m_settings(settings), m_body(std::move(body))
    {
    }

    checked_answer validate(const http_reply &reply)
    {
        boost::system::error_code error;
        const json::value document = json::parse(reply.body, error);
        expect(!error && document.is_object(), "the reply is no JSON object");
        if (!m_result.violation.empty())
            return m_result;
        if (reply.status != http_ok)
            validateRefusal(document.as_object());
        else if (m_settings.shard.empty())
            validateQuery(document.as_object());
        else
            validateShardAnswer(document.as_object());
        return m_result;
    }

private:
    void expect(bool holds, const std::string &otherwise)
    {
        if (!holds && m_result.violation.empty())
            m_result.violation = otherwise;
    }

    void validateRefusal(const json::object &from)
    {
        const json::object &error = objectOf(from, "error");
        const auto kind = fromName<error_kind>(textOf(error, "kind"));
        const auto outcome = fromName<verdict>(textOf(error, "verdict"));
        expect(kind && outcome, "a refusal without a known kind and verdict");
        m_result.kind = kind.value_or(error_kind::none);
        m_result.outcome = outcome.value_or(verdict::may_have_run);
    }

    void validateQuery(const json::object &from)
    {
        m_result.answered = true;
        m_snapshot = textOf(from, "snapshot");
        expect(isSnapshotName(m_snapshot), "no snapshot is named");
        for (const json::value &result : listOf(from, "results")) {
            expect(result.is_object(), "a result is no object");
            if (result.is_object())
                validateResult(result.as_object());
        }
        for (const json::value &missing : listOf(from, "uncovered")) {
            expect(missing.is_object(), "an uncovered shard is no object");
            if (missing.is_object())
                validateUncovered(missing.as_object());
        }
        const json::object &coverage = objectOf(from, "coverage");
        expect(numberOf(coverage, "shards") == static_cast<std::int64_t>(m_result.shards)
                   && numberOf(coverage, "answered") == static_cast<std::int64_t>(m_result.covered),
               "the coverage does not add up");
        expect(m_names.size() == m_result.shards, "a shard is counted twice");
        const json::object &load = objectOf(from, "load");
        m_result.leafRequests = static_cast<int>(numberOf(load, "leaf_requests"));
        m_result.extra = static_cast<int>(numberOf(load, "extra"));
        expect(m_result.extra >= 0
                   && m_result.leafRequests - m_result.extra
                       >= static_cast<std::int64_t>(m_result.covered),
               "fewer leaf requests than results");
    }

    void validateResult(const json::object &from)
    {
        const std::string shard = textOf(from, "shard");
        m_names.insert(shard);
        ++m_result.shards;
        ++m_result.covered;
        validateBody(shard, textOf(from, "body"));
    }

    void validateUncovered(const json::object &from)
    {
        m_names.insert(textOf(from, "shard"));
        ++m_result.shards;
        const auto reason = fromName<error_kind>(textOf(from, "reason"));
        expect(reason && *reason != error_kind::none, "an uncovered shard without a reason");
        expect(fromName<verdict>(textOf(from, "verdict")).has_value(),
               "an uncovered shard without a verdict");
    }

    void validateShardAnswer(const json::object &from)
    {
        m_result.answered = true;
        m_result.shards = 1;
        m_result.covered = 1;
        m_snapshot = textOf(from, "snapshot");
        expect(isSnapshotName(m_snapshot), "no snapshot is named");
        expect(textOf(from, "shard") == m_settings.shard, "another shard answered");
        expect(textOf(from, "verdict") == nameOf(verdict::completed),
               "an answer that is not completed");
        validateBody(m_settings.shard, textOf(from, "body"));
    }

    void validateBody(const std::string &shard, const std::string &body)
    {
        const std::string expected = shard + "@" + m_snapshot + ":" + m_body;
        expect(!m_settings.checksBody || body == expected,
               "expected " + expected + " but got " + body);
    }

    const load_settings &m_settings;
    std::string m_body;
    std::string m_snapshot;
    std::set<std::string> m_names;
    checked_answer m_result;
};

} // namespace

checked_answer checkReply(const load_settings &settings, const std::string &body,
                          const http_reply &reply)
{
    return answer_validator(settings, body).validate(reply);
}
