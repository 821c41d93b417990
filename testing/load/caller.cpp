#include "caller.h"

#include "entry_list.h"
#include "gooseberrymoor/base/timer.h"
#include "load_report.h"
#include "load_settings.h"

#include <boost/json.hpp>

namespace json = boost::json;
using namespace gooseberrymoor;

namespace {

constexpr int max_attempts = 3;
// Added to the deadline, so that the reply of an entry that used the whole timeout still arrives.
constexpr duration reply_grace { 500 };
constexpr double millis_per_second = 1000;

// Whether another entry may accept a request that one entry refused as `kind`.
bool isRetryableAtOtherEntry(error_kind kind)
{
    return kind == error_kind::overloaded || kind == error_kind::draining
        || kind == error_kind::not_ready || kind == error_kind::no_owner
        || kind == error_kind::not_owner || kind == error_kind::link_lost;
}

} // namespace

caller::caller(asio::any_io_executor executor, int number, const load_settings &settings,
               entry_list &entries, load_report &report)
    : m_executor(std::move(executor)), m_number(number), m_settings(settings), m_entries(entries),
      m_report(report)
{
}

asio::awaitable<void> caller::run(time_point begin)
{
    const time_point end = begin + m_settings.length;
    for (std::uint64_t index = 0;; ++index) {
        time_point due = millis_clock::now();
        if (m_settings.rate > 0) {
            const double position
                = static_cast<double>(index) * m_settings.callers + static_cast<double>(m_number);
            const double offset = position / m_settings.rate * millis_per_second;
            due = begin + duration(static_cast<duration::rep>(offset));
        }
        if (due >= end || millis_clock::now() >= end)
            co_return;
        timer pause(m_executor, due);
        co_await pause.async_wait(as_result);
        co_await request(index, due);
    }
}

asio::awaitable<void> caller::request(std::uint64_t index, time_point due)
{
    const time_point deadline = millis_clock::now() + m_settings.timeout;
    const std::string body = "c" + std::to_string(m_number) + "-" + std::to_string(index);
    for (int i = 1; i <= max_attempts; ++i) {
        const auto result = co_await attempt(body, i == max_attempts, due, deadline);
        if (result == attempt_result::done)
            co_return;
        m_report.addResend();
    }
}

asio::awaitable<caller::attempt_result> caller::attempt(std::string body, bool isLastAttempt,
                                                        time_point due, time_point deadline)
{
    const duration remaining = deadline - millis_clock::now();
    isLastAttempt = isLastAttempt || remaining <= duration(1);
    if (!co_await connect(deadline)) {
        if (!isLastAttempt)
            co_return attempt_result::tryOtherEntry;
        m_report.addFailure(verdict::not_run);
        co_return attempt_result::done;
    }
    const duration timeout = std::max(deadline - millis_clock::now(), duration(1));
    auto reply = co_await m_connection->exchange(encode(body, timeout), deadline + reply_grace);
    if (!reply) {
        m_connection.reset();
        if (!isLastAttempt && mayResend(reply.error().outcome))
            co_return attempt_result::tryOtherEntry;
        m_report.addFailure(reply.error().outcome);
        co_return attempt_result::done;
    }
    const checked_answer answer = checkReply(m_settings, body, *reply);
    if (!answer.violation.empty())
        m_report.addInvalidAnswer(answer.violation);
    if (answer.answered) {
        m_report.addAnswer(answer, millis_clock::now() - due);
        co_return attempt_result::done;
    }
    m_connection.reset();
    if (!isLastAttempt && answer.outcome == verdict::not_run
        && isRetryableAtOtherEntry(answer.kind))
        co_return attempt_result::tryOtherEntry;
    m_report.addRefusal(answer.kind, answer.outcome);
    co_return attempt_result::done;
}

asio::awaitable<bool> caller::connect(time_point deadline)
{
    co_await m_entries.refresh();
    const bool open = m_connection && m_connection->isOpen();
    if (open && m_entries.contains(m_entry))
        co_return true;
    m_entry = m_entries.pick(m_entry);
    m_connection.emplace(m_executor);
    const auto connected = co_await m_connection->connect(m_entry, deadline);
    if (!connected)
        m_connection.reset();
    co_return connected.has_value();
}

http_request caller::encode(const std::string &body, duration timeout) const
{
    json::object document { { "body", body }, { "timeout_ms", timeout.count() } };
    if (!m_settings.route.empty())
        document["route"] = m_settings.route;
    std::string action = "/query";
    if (!m_settings.shard.empty()) {
        action = "/request";
        document["shard"] = m_settings.shard;
        document["idempotent"] = m_settings.idempotent;
    }
    return { "POST", "/v1/services/" + m_settings.service + action, json::serialize(document) };
}

bool caller::mayResend(verdict outcome) const
{
    const bool idempotent = m_settings.shard.empty() || m_settings.idempotent;
    return outcome == verdict::not_run || idempotent;
}
