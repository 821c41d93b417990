#include "gooseberrymoor/store/etcd_store.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_line_stream.h"
#include "gooseberrymoor/store/etcd_codec.h"

namespace gooseberrymoor {

namespace {

constexpr unsigned http_ok = 200;
constexpr std::size_t max_idle_connections = 4;
constexpr duration max_idle_time { 20'000 };

store_error malformedResponse(const std::string &detail)
{
    return { store_failure::malformed, verdict::may_have_run, detail };
}

store_error unexpectedStatus(unsigned status)
{
    return { store_failure::unavailable, verdict::may_have_run,
             "status " + std::to_string(status) };
}

// Decodes the response body with `decode`, or passes on the error of the call.
template <typename Decode>
auto decodeBody(const tl::expected<std::string, store_error> &body, Decode decode)
    -> tl::expected<typename decltype(decode(std::string()))::value_type, store_error>
{
    if (!body)
        return tl::unexpected(body.error());
    auto value = decode(*body);
    if (!value)
        return tl::unexpected(malformedResponse(value.error()));
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
    co_return decodeBody(body, decodeTransactionResponse);
}

asio::awaitable<tl::expected<store_lease, store_error>> etcd_store::grantLease(duration timeToLive)
{
    const auto body = co_await call("/v3/lease/grant", encodeLeaseGrant(timeToLive));
    const auto lease = decodeBody(body, decodeLeaseGrant);
    if (!lease)
        co_return tl::unexpected(lease.error());
    co_return store_lease { *lease };
}

asio::awaitable<tl::expected<lease_renewal, store_error>> etcd_store::keepAlive(std::int64_t lease)
{
    const auto body = co_await call("/v3/lease/keepalive", encodeKeepAlive(lease));
    const auto remaining = decodeBody(body, decodeKeepAlive);
    if (!remaining)
        co_return tl::unexpected(remaining.error());
    co_return lease_renewal { *remaining };
}

asio::awaitable<tl::expected<bool, store_error>>
etcd_store::waitForChange(std::string prefix, std::int64_t afterRevision, duration timeout)
{
    m_events.add("store_watches");
    const time_point deadline = millis_clock::now() + timeout;
    http_line_stream stream(co_await asio::this_coro::executor);
    http_request request("POST", "/v3/watch", encodeWatch(prefix, afterRevision));
    // The response header confirms the watch; it must arrive within the timeout of a call.
    const auto status
        = co_await stream.open(server(), std::move(request), millis_clock::now() + m_timeout);
    if (!status)
        co_return tl::unexpected(recordFailure(status.error()));
    if (*status != http_ok) {
        m_events.add("store_failures");
        ++m_serverIndex;
        co_return tl::unexpected(unexpectedStatus(*status));
    }
    while (true) {
        const auto line = co_await stream.readLine(deadline);
        if (!line && line.error().timedOut)
            co_return false;
        if (!line)
            co_return tl::unexpected(recordFailure(line.error()));
        if (!*line) // the stream has ended; treated like a timeout
            co_return false;
        const auto changed = decodeWatchLine(**line);
        if (!changed)
            co_return tl::unexpected(malformedResponse(changed.error()));
        if (*changed)
            co_return true;
    }
}

asio::awaitable<tl::expected<store_read, store_error>> etcd_store::read(std::string body)
{
    m_events.add("store_calls");
    http_request request("POST", "/v3/kv/range", std::move(body));
    auto reply
        = co_await exchangeReusing(server(), std::move(request), millis_clock::now() + m_timeout);
    co_return decodeBody(responseBody(std::move(reply)), decodeRangeResponse);
}

// Sends a request that must not be repeated, on a new connection that is not reused.
asio::awaitable<etcd_store::body_result> etcd_store::call(std::string path, std::string body)
{
    m_events.add("store_calls");
    http_request request("POST", std::move(path), std::move(body));
    auto reply
        = co_await exchangeOnce(server(), std::move(request), millis_clock::now() + m_timeout);
    co_return responseBody(std::move(reply));
}

// Exchanges `request` on an idle connection if there is one. Only for reads: the request may be
// sent twice.
asio::awaitable<etcd_store::http_result>
etcd_store::exchangeReusing(endpoint server, http_request request, time_point deadline)
{
    const time_point now = millis_clock::now();
    auto reused = takeIdleConnection(server, now);
    if (!reused)
        co_return co_await exchangeOnNewConnection(std::move(server), std::move(request), deadline);
    // Leaves half of the time for a new connection in case the server no longer answers on this
    // one.
    auto reply = co_await reused->exchange(request, now + (deadline - now) / 2);
    if (!reply) {
        m_events.add("store_connections_lost");
        m_idle.clear();
        co_return co_await exchangeOnNewConnection(std::move(server), std::move(request), deadline);
    }
    keepIdleConnection(server, std::move(*reused));
    co_return reply;
}

asio::awaitable<etcd_store::http_result>
etcd_store::exchangeOnNewConnection(endpoint server, http_request request, time_point deadline)
{
    http_connection connection(co_await asio::this_coro::executor);
    const auto connected = co_await connection.connect(server, deadline);
    if (!connected)
        co_return tl::unexpected(connected.error());
    auto reply = co_await connection.exchange(std::move(request), deadline);
    if (reply)
        keepIdleConnection(server, std::move(connection));
    co_return reply;
}

std::optional<http_connection> etcd_store::takeIdleConnection(const endpoint &server,
                                                              time_point now)
{
    std::erase_if(m_idle, [&](const idle_connection &each) {
        return now - each.idleSince > max_idle_time || each.server != server;
    });
    if (m_idle.empty())
        return std::nullopt;
    std::optional<http_connection> taken(std::move(m_idle.back().connection));
    m_idle.pop_back();
    return taken;
}

void etcd_store::keepIdleConnection(const endpoint &server, http_connection connection)
{
    if (connection.isOpen() && m_idle.size() < max_idle_connections)
        m_idle.push_back({ server, std::move(connection), millis_clock::now() });
}

etcd_store::body_result etcd_store::responseBody(http_result reply)
{
    if (!reply)
        return tl::unexpected(recordFailure(reply.error()));
    if (reply->status == http_ok)
        return std::move(reply->body);
    m_events.add("store_failures");
    ++m_serverIndex;
    return tl::unexpected(unexpectedStatus(reply->status));
}

store_error etcd_store::recordFailure(const http_failure &failure)
{
    m_events.add("store_failures");
    ++m_serverIndex;
    const auto kind = failure.timedOut ? store_failure::timed_out : store_failure::unavailable;
    return { kind, failure.outcome, failure.reason };
}

} // namespace gooseberrymoor
