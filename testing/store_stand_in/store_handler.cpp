#include "store_handler.h"

#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/http/http_body_source.h"

#include <boost/json.hpp>

namespace json = boost::json;
namespace asio = gooseberrymoor::asio;
using gooseberrymoor::duration;
using gooseberrymoor::error_kind;
using gooseberrymoor::http_reply;
using gooseberrymoor::http_request;
using gooseberrymoor::millis_clock;
using gooseberrymoor::time_point;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unavailable = 503;
constexpr duration max_watch_duration { 30'000 };
constexpr duration lease_check_interval { 200 };
constexpr duration stop_check_interval { 100 };
constexpr double milliseconds_per_second = 1000;

bool isWriteCall(call_kind kind)
{
    return kind == call_kind::transaction || kind == call_kind::lease_grant
        || kind == call_kind::lease_keep_alive;
}

std::string errorBody(const std::string &text)
{
    return json::serialize(json::object { { "error", text } });
}

// Counts an open watch for as long as the object lives. The count also falls if the caller
// disconnects, as that cancels and destroys the task of the watch.
class open_watch_counter
{
public:
    explicit open_watch_counter(int &count) : m_count(count) { ++m_count; }
    ~open_watch_counter() { --m_count; }
    open_watch_counter(const open_watch_counter &) = delete;
    open_watch_counter &operator=(const open_watch_counter &) = delete;

private:
    int &m_count;
};

// Streams one watch: the confirmation line, then one line with the first changes.
class watch_stream : public gooseberrymoor::http_body_source
{
public:
    watch_stream(store_handler &store, std::string body) : m_store(store), m_body(std::move(body))
    {
    }

    asio::awaitable<std::optional<std::string>> next() override
    {
        ++m_linesSent;
        if (m_linesSent == 1)
            co_return m_store.watchCreatedLine();
        std::string changes;
        if (m_linesSent == 2)
            changes = co_await m_store.nextChanges(m_body);
        if (changes.empty())
            co_return std::nullopt;
        co_return changes;
    }

private:
    store_handler &m_store;
    std::string m_body;
    int m_linesSent = 0;
};

} // namespace

store_handler::store_handler(asio::any_io_executor executor, std::uint32_t seed)
    : m_random(seed), m_changed(std::move(executor)), m_startTime(millis_clock::now())
{
}

asio::awaitable<http_reply> store_handler::handle(http_request request)
{
    if (request.path == "/control" || request.path == "/account")
        co_return handleControl(request);
    const auto kind = gooseberrymoor::fromName<call_kind>(request.path);
    if (!kind)
        co_return refuse(error_kind::bad_request, "");
    co_return co_await call(*kind, std::move(request.body));
}

asio::awaitable<http_reply> store_handler::call(call_kind kind, std::string body)
{
    http_reply reply(status_unavailable, errorBody("out of service"));
    reply.closeAfter = true;
    ++m_calls[static_cast<std::size_t>(kind)];
    co_await pause(m_faults.latency);
    if (m_faults.outage == outage_kind::refused)
        co_return reply;
    if (m_faults.outage == outage_kind::silent)
        co_return co_await withholdAnswer();
    if (m_faults.shouldRefuse(m_random))
        co_return http_reply(status_unavailable, errorBody("overloaded"));
    http_reply answer(status_ok, "");
    try {
        if (m_state.expireLeases(millis_clock::now()))
            m_changed.notify();
        answer = kind == call_kind::watch ? watch(std::move(body))
                                          : http_reply(status_ok, apply(kind, body));
    } catch (const std::exception &error) {
        ++m_malformed;
        co_return http_reply(status_bad_request, errorBody(error.what()));
    }
    if (isWriteCall(kind) && m_faults.shouldLoseAnswer(kind == call_kind::transaction, m_random)) {
        ++m_lostAnswers;
        co_return co_await withholdAnswer();
    }
    co_await pause(m_faults.answerDelay);
    co_return answer;
}

std::string store_handler::apply(call_kind kind, const std::string &body)
{
    switch (kind) {
    case call_kind::range:
        return m_state.range(body);
    case call_kind::lease_grant:
        return m_state.grantLease(body, millis_clock::now());
    case call_kind::lease_keep_alive:
        return m_state.keepAlive(body, millis_clock::now());
    case call_kind::transaction: {
        std::string answer = m_state.transact(body);
        m_changed.notify();
        return answer;
    }
    case call_kind::watch:
        break;
    }
    return "";
}

http_reply store_handler::watch(std::string body)
{
    m_state.changes(body); // throws if the body is malformed
    http_reply reply(status_ok, "");
    reply.bodySource = std::make_shared<watch_stream>(*this, std::move(body));
    return reply;
}

asio::awaitable<std::string> store_handler::nextChanges(std::string body)
{
    const time_point end = millis_clock::now() + max_watch_duration;
    std::string changes = m_state.changes(body);
    const open_watch_counter counted(m_openWatches);
    while (changes.empty() && millis_clock::now() < end
           && m_faults.outage != outage_kind::refused) {
        co_await m_changed.wait(std::min(end, millis_clock::now() + lease_check_interval));
        m_state.expireLeases(millis_clock::now());
        if (m_faults.outage == outage_kind::none)
            changes = m_state.changes(body);
    }
    co_return changes;
}

asio::awaitable<void> store_handler::pause(duration time)
{
    if (time <= duration(0))
        co_return;
    gooseberrymoor::timer wait(co_await asio::this_coro::executor, millis_clock::now() + time);
    co_await wait.async_wait(gooseberrymoor::as_result);
}

// Leaves the call without an answer for `max_watch_duration`, then closes the connection.
asio::awaitable<http_reply> store_handler::withholdAnswer()
{
    const time_point end = millis_clock::now() + max_watch_duration;
    while (millis_clock::now() < end)
        co_await pause(stop_check_interval);
    http_reply reply(status_unavailable, errorBody("no answer"));
    reply.closeAfter = true;
    co_return reply;
}

http_reply store_handler::handleControl(const http_request &request)
{
    if (request.path == "/control" && request.method == "POST")
        return control(request.body);
    if (request.path == "/account")
        return http_reply(status_ok, statistics());
    return refuse(error_kind::bad_request, "");
}

http_reply store_handler::control(const std::string &body)
{
    const auto applied = m_faults.apply(body);
    m_changed.notify();
    if (!applied)
        return http_reply(status_bad_request, errorBody(applied.error()));
    return http_reply(status_ok, "{}");
}

std::string store_handler::statistics() const
{
    json::object calls;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    for (const auto &[kind, name] : names(call_kind {})) {
        const std::uint64_t count = m_calls[static_cast<std::size_t>(kind)];
        calls[name] = count;
        (isWriteCall(kind) ? writes : reads) += count;
    }
    const double seconds = static_cast<double>((millis_clock::now() - m_startTime).count())
        / milliseconds_per_second;
    return json::serialize(json::object {
        { "calls", calls },
        { "reads", reads },
        { "writes", writes },
        { "reads_per_second", static_cast<double>(reads) / std::max(seconds, 1.0) },
        { "writes_per_second", static_cast<double>(writes) / std::max(seconds, 1.0) },
        { "watching", m_openWatches },
        { "answers_lost", m_lostAnswers },
        { "malformed", m_malformed } });
}
