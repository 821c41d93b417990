#include "gooseberrymoor/store/etcd_store.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/http/http_connection.h"
#include "gooseberrymoor/store/etcd_codec.h"

namespace gooseberrymoor {

namespace {

constexpr unsigned http_ok = 200;

store_error malformed(const std::string &detail)
{
    return { store_failure::malformed, verdict::may_have_run, detail };
}

} // namespace

etcd_store::etcd_store(std::vector<endpoint> addresses, duration timeout, counters &events)
    : m_addresses(std::move(addresses)), m_timeout(timeout), m_events(events)
{
}

asio::awaitable<tl::expected<std::string, store_error>> etcd_store::call(std::string path,
                                                                         std::string body)
{
    m_events.add("store_calls");
    const endpoint server = m_addresses[m_next % m_addresses.size()];
    auto reply = co_await exchangeOnce(server, { "POST", std::move(path), std::move(body) },
                                       millis_clock::now() + m_timeout);
    if (!reply) {
        m_events.add("store_failures");
        ++m_next;
        const auto failure
            = reply.error().timedOut ? store_failure::timed_out : store_failure::unavailable;
        co_return tl::unexpected(
            store_error { failure, reply.error().outcome, reply.error().reason });
    }
    if (reply->status != http_ok) {
        m_events.add("store_failures");
        ++m_next;
        co_return tl::unexpected(store_error { store_failure::unavailable, verdict::may_have_run,
                                               "status " + std::to_string(reply->status) });
    }
    co_return std::move(reply->body);
}

asio::awaitable<tl::expected<store_read, store_error>> etcd_store::readPrefix(std::string prefix)
{
    const auto body = co_await call("/v3/kv/range", encodeRangeRequest(prefix));
    if (!body)
        co_return tl::unexpected(body.error());
    auto read = decodeRangeResponse(*body);
    if (!read)
        co_return tl::unexpected(malformed(read.error()));
    co_return std::move(*read);
}

asio::awaitable<tl::expected<transaction_result, store_error>>
etcd_store::transact(store_transaction transaction)
{
    const auto body = co_await call("/v3/kv/txn", encodeTransaction(transaction));
    if (!body)
        co_return tl::unexpected(body.error());
    const auto result = decodeTransactionResponse(*body);
    if (!result)
        co_return tl::unexpected(malformed(result.error()));
    co_return *result;
}

} // namespace gooseberrymoor
