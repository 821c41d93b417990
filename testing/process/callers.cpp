#include "callers.h"

#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/http/http_connection.h"

#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

using namespace gooseberrymoor;
namespace json = boost::json;

namespace {

constexpr duration request_timeout { 1000 };
constexpr duration reply_timeout { 6000 };
constexpr duration retry_delay { 50 };
constexpr unsigned http_ok = 200;

verdict verdictOf(const http_reply &reply)
{
    if (reply.status == http_ok)
        return verdict::completed;
    boost::system::error_code error;
    const json::value document = json::parse(reply.body, error);
    if (error)
        return verdict::may_have_run;
    const std::string name(document.at("error").at("verdict").as_string());
    return fromName<verdict>(name).value_or(verdict::may_have_run);
}

} // namespace

class callers::caller
{
public:
    caller(callers &owner, int number, std::vector<endpoint> entries, int nonIdempotentInterval)
        : m_owner(owner), m_number(number), m_entries(std::move(entries)),
          m_nonIdempotentInterval(nonIdempotentInterval),
          m_connection(owner.m_context.get_executor())
    {
    }

    asio::awaitable<void> run()
    {
        while (!m_owner.m_stopRequested) {
            co_await refreshDirectory();
            const bool connected = co_await connectIfNeeded();
            if (connected)
                co_await sendNextRequest();
            else
                co_await waitAfterFailure();
        }
    }

private:
    asio::awaitable<void> refreshDirectory()
    {
        if (millis_clock::now() < m_directoryExpiry)
            co_return;
        const endpoint candidate = m_entries[nextChoice() % m_entries.size()];
        const auto reply = co_await exchangeOnce(candidate, http_request("GET", "/v1/entries"),
                                                 millis_clock::now() + request_timeout);
        if (!reply || reply->status != http_ok)
            co_return;
        const json::value answer = json::parse(reply->body);
        std::vector<endpoint> entries;
        for (const json::value &entry : answer.at("entries").as_array())
            entries.push_back(*parseEndpoint(std::string(entry.as_string())));
        m_directoryExpiry = millis_clock::now() + duration(answer.at("ttl_ms").as_int64());
        if (entries.empty())
            co_return;
        m_entries = entries;
        if (std::ranges::find(m_entries, m_entry) == m_entries.end())
            m_connection.close(); // the directory no longer names it
    }

    asio::awaitable<bool> connectIfNeeded()
    {
        if (m_connection.isOpen())
            co_return true;
        m_entry = m_entries[nextChoice() % m_entries.size()];
        const auto connected
            = co_await m_connection.connect(m_entry, millis_clock::now() + request_timeout);
        co_return connected.has_value();
    }

    asio::awaitable<void> sendNextRequest()
    {
        caller_record record;
        record.entry = toString(m_entry);
        record.body = "c" + std::to_string(m_number) + "-" + std::to_string(++m_sent);
        record.idempotent = m_nonIdempotentInterval == 0 || m_sent % m_nonIdempotentInterval != 0;
        record.sent = millis_clock::now();
        auto reply
            = co_await m_connection.exchange(encodeRequest(record), record.sent + reply_timeout);
        record.ended = millis_clock::now();
        record.outcome = reply ? verdictOf(*reply) : reply.error().outcome;
        if (reply) {
            record.status = reply->status;
            record.reply = std::move(reply->body);
        }
        const bool failed = record.status != http_ok;
        m_owner.m_records.push_back(std::move(record));
        ++m_owner.m_finishedRequests;
        if (failed) {
            m_connection.close();
            m_directoryExpiry = {};
            co_await waitAfterFailure();
        }
    }

    static http_request encodeRequest(const caller_record &record)
    {
        json::object body { { "body", record.body }, { "timeout_ms", request_timeout.count() } };
        if (record.idempotent)
            return { "POST", "/v1/services/standings/query", json::serialize(body) };
        body["shard"] = "heat-1";
        return { "POST", "/v1/services/standings/request", json::serialize(body) };
    }

    asio::awaitable<void> waitAfterFailure()
    {
        timer pause(co_await asio::this_coro::executor, millis_clock::now() + retry_delay);
        co_await pause.async_wait(as_result);
    }

    std::size_t nextChoice() { return static_cast<std::size_t>(m_number) + m_choices++; }

    callers &m_owner;
    int m_number;
    std::vector<endpoint> m_entries;
    int m_nonIdempotentInterval;
    http_connection m_connection;
    endpoint m_entry;
    time_point m_directoryExpiry {};
    std::size_t m_choices = 0;
    int m_sent = 0;
};

callers::callers(std::vector<endpoint> entries, int count, int nonIdempotentInterval)
{
    for (int number = 1; number <= count; ++number) {
        m_callers.push_back(
            std::make_unique<caller>(*this, number, entries, nonIdempotentInterval));
        asio::co_spawn(m_context, m_callers.back()->run(), asio::detached);
    }
    m_thread = std::thread([this] { m_context.run(); });
}

callers::~callers()
{
    if (m_thread.joinable())
        stop();
}

caller_history callers::stop()
{
    m_stopRequested = true;
    m_thread.join();
    return caller_history(m_records);
}
