#include "gooseberrymoor/store/etcd_store.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_line_stream.h"
#include "gooseberrymoor/store/etcd_codec.h"

namespace gooseberrymoor {

namespace {

constexpr unsigned http_ok = 200;
constexpr std::size_t most_idle = 4; // connections
constexpr duration longest_idle { 20'000 };

store_error malformed(const std::string &detail)
{
    return { store_failure::malformed, verdict::may_have_run, detail };
}

store_error badStatus(unsigned status)
{
    return { store_failure::unavailable, verdict::may_have_run,
             "status " + std::to_string(status) };
}

// Reads the body of a call with `decode`, unless the call failed.
template <typename Decode>
auto decoded(const tl::expected<std::string, store_error> &body, Decode decode)
    -> tl::expected<typename decltype(decode(std::string()))::value_type, store_error>
{
    if (!body)
        return tl::unexpected(body.error());
    auto value = decode(*body);
    if (!value)
        return tl::unexpected(malformed(value.error()));
    return std::move(*value);
}

} // namespace

etcd_store::etcd_store(std::vector<endpoint> addresses, duration timeout, counters &events)
    : m_addresses(std::move(addresses)), m_timeout(timeout), m_events(events)
{
}

asio::awaitable<tl::expected<store_read, store_error>> etcd_store::readPrefix(std::string prefix)
{
    co_return co_await read(encodeRangeRequest(prefix));
}

asio::awaitable<tl::expected<store_read, store_error>> etcd_store::readKey(std::string key)
{
    co_return co_await read(encodeKeyRequest(key));
}

asio::awaitable<tl::expected<transaction_result, store_error>>
etcd_store::transact(store_transaction transaction)
{
    const auto body = co_await call("/v3/kv/txn", encodeTransaction(transaction));
    co_return decoded(body, decodeTransactionResponse);
}

asio::awaitable<tl::expected<std::int64_t, store_error>> etcd_store::grantLease(duration timeToLive)
{
    const auto body = co_await call("/v3/lease/grant", encodeLeaseGrant(timeToLive));
    co_return decoded(body, decodeLeaseGrant);
}

asio::awaitable<tl::expected<duration, store_error>> etcd_store::keepAlive(std::int64_t lease)
{
    const auto body = co_await call("/v3/lease/keepalive", encodeKeepAlive(lease));
    co_return decoded(body, decodeKeepAlive);
}

asio::awaitable<tl::expected<bool, store_error>>
etcd_store::waitForChange(std::string prefix, std::int64_t afterRevision, duration timeout)
{
    m_events.add("store_watches");
    const time_point deadline = millis_clock::now() + timeout;
    http_line_stream stream(co_await asio::this_coro::executor);
    http_request request("POST", "/v3/watch", encodeWatch(prefix, afterRevision));
    // A store that confirms no watch within the time of a call is taken for silent.
    const auto status
        = co_await stream.open(server(), std::move(request), millis_clock::now() + m_timeout);
    if (!status)
        co_return tl::unexpected(failed(status.error()));
    if (*status != http_ok) {
        m_events.add("store_failures");
        ++m_next;
        co_return tl::unexpected(badStatus(*status));
    }
    while (true) {
        const auto line = co_await stream.readLine(deadline);
        if (!line && line.error().timedOut)
            co_return false;
        if (!line)
            co_return tl::unexpected(failed(line.error()));
        if (!*line)
            co_return false;
        const auto changed = decodeWatchLine(**line);
        if (!changed)
            co_return tl::unexpected(malformed(changed.error()));
        if (*changed)
            co_return true;
    }
}

asio::awaitable<tl::expected<store_read, store_error>> etcd_store::read(std::string body)
{
    m_events.add("store_calls");
    http_request request("POST", "/v3/kv/range", std::move(body));
    auto reply
        = co_await exchangeKept(server(), std::move(request), millis_clock::now() + m_timeout);
    co_return decoded(bodyOf(std::move(reply)), decodeRangeResponse);
}

asio::awaitable<etcd_store::body_result> etcd_store::call(std::string path, std::string body)
{
    m_events.add("store_calls");
    http_request request("POST", std::move(path), std::move(body));
    auto reply
        = co_await exchangeOnce(server(), std::move(request), millis_clock::now() + m_timeout);
    co_return bodyOf(std::move(reply));
}

// Only for reads: the request may be sent twice.
asio::awaitable<etcd_store::http_result>
etcd_store::exchangeKept(endpoint server, http_request request, time_point deadline)
{
    const time_point now = millis_clock::now();
    auto kept = takeIdle(server, now);
    if (!kept)
        co_return co_await exchangeNew(std::move(server), std::move(request), deadline);
    // Half of the time is left for a new connection, should this one have gone silent.
    auto reply = co_await kept->exchange(request, now + (deadline - now) / 2);
    if (!reply) {
        m_events.add("store_connections_lost");
        m_idle.clear();
        co_return co_await exchangeNew(std::move(server), std::move(request), deadline);
    }
    keep(server, std::move(*kept));
    co_return reply;
}

asio::awaitable<etcd_store::http_result>
etcd_store::exchangeNew(endpoint server, http_request request, time_point deadline)
{
    http_connection connection(co_await asio::this_coro::executor);
    const auto connected = co_await connection.connect(server, deadline);
    if (!connected)
        co_return tl::unexpected(connected.error());
    auto reply = co_await connection.exchange(std::move(request), deadline);
    if (reply)
        keep(server, std::move(connection));
    co_return reply;
}

std::optional<http_connection> etcd_store::takeIdle(const endpoint &server, time_point now)
{
    std::erase_if(m_idle, [&](const idle_connection &each) {
        return now - each.since > longest_idle || each.server != server;
    });
    if (m_idle.empty())
        return std::nullopt;
    std::optional<http_connection> taken(std::move(m_idle.back().connection));
    m_idle.pop_back();
    return taken;
}

void etcd_store::keep(const endpoint &server, http_connection connection)
{
    if (connection.isOpen() && m_idle.size() < most_idle)
        m_idle.push_back({ server, std::move(connection), millis_clock::now() });
}

etcd_store::body_result etcd_store::bodyOf(http_result reply)
{
    if (!reply)
        return tl::unexpected(failed(reply.error()));
    if (reply->status == http_ok)
        return std::move(reply->body);
    m_events.add("store_failures");
    ++m_next;
    return tl::unexpected(badStatus(reply->status));
}

store_error etcd_store::failed(const http_failure &failure)
{
    m_events.add("store_failures");
    ++m_next;
    const auto kind = failure.timedOut ? store_failure::timed_out : store_failure::unavailable;
    return { kind, failure.outcome, failure.reason };
}

} // namespace gooseberrymoor
